#!/bin/bash
# Two entry hosts in different zones, three engines, one plain service: a
# short prompt, a long one, a seat check and a seat hold, from end to end.
BUILD=${1:-build}
. tests/lib.sh

A=$((BASE + 10)) B=$((BASE + 20))
E1=$((BASE + 30)) E2=$((BASE + 31)) E3=$((BASE + 32)) P=$((BASE + 40))

platform
for port in $E1 $E2 $E3; do standin engine $port --step-ms 10; done
standin plain $P
row entrya $((A + 2)) valle-a ""
row entryb $((B + 2)) valle-b ""
row engine-1 $E1 valle-a modelo-cupos
row engine-2 $E2 valle-b modelo-cupos
row engine-3 $E3 valle-b modelo-cupos
row plain-1 $P valle-a reservas
send_rows
entry entrya valle-a $A
entry entryb valle-b $B

say "== publish"
"$BUILD/cuminquayctl" publish --log "$LOG" examples/*.toml || fail publish
wait_for "http://127.0.0.1:$((A + 1))/readyz"
wait_for "http://127.0.0.1:$((B + 1))/readyz"
wait_until "peers_heard=1.*services=2" \
    "$BUILD/cuminquayctl" status --at 127.0.0.1:$((A + 1))

MODEL="Authorization: Bearer demo-analitica"
SEATS="Authorization: Bearer demo-despacho"

say "== a short prompt, streamed, by entry host a"
short=$(curl -sN -D "$DIR/short.head" -H "$MODEL" "http://127.0.0.1:$A/v1/completions" \
    -d '{"model":"cupos-1","prompt":"#short how many seats are left?","max_tokens":5,"stream":true}')
say "$short"

say "== a long prompt, whole, by entry host b"
{
    printf '{"model":"cupos-1","max_tokens":8,"prompt":"#long '
    head -c 400000 /dev/zero | tr '\0' 'x'
    printf '"}'
} >"$DIR/long.json"
long=$(curl -s -D "$DIR/long.head" -H "$MODEL" --data-binary "@$DIR/long.json" \
    "http://127.0.0.1:$B/v1/completions")
say "$long"

say "== a seat check and a seat hold"
check=$(curl -s -D "$DIR/check.head" -H "$SEATS" "http://127.0.0.1:$A/s/reservas/seats/17")
say "$check"
hold=$(curl -s -D "$DIR/hold.head" -H "$SEATS" -H "Idempotency-Key: hold-17" -X POST \
    -d '{"seat":17}' "http://127.0.0.1:$A/s/reservas/holds")
say "$hold"
again=$(curl -s -H "$SEATS" -H "Idempotency-Key: hold-17" -X POST \
    -d '{"seat":17}' "http://127.0.0.1:$B/s/reservas/holds")
case "$again" in *in_progress*)
    say "the same hold by entry host b, at once: $again"
    sleep 1
    again=$(curl -s -H "$SEATS" -H "Idempotency-Key: hold-17" -X POST \
        -d '{"seat":17}' "http://127.0.0.1:$B/s/reservas/holds")
    ;;
esac
say "the same hold by entry host b: $again"

say "== time line of the four over all processes"
for name in short long check hold; do
    id=$(sed -n 's/^[Xx]-[Rr]equest-[Ii]d: *\([0-9a-f]*\).*/\1/p' "$DIR/$name.head")
    say "-- $name $id"
    "$BUILD/cuminquayctl" explain --at 127.0.0.1:$((A + 1)) \
        --at 127.0.0.1:$((B + 1)) "$id" || fail "explain $name"
done

say "== what the plain service counted"
counted=$(curl -s "http://127.0.0.1:$P/counters")
say "$counted"

say "== stop by SIGTERM"
kill -TERM $PID_entrya $PID_entryb
wait $PID_entrya || fail "entry host a exited $?"
wait $PID_entryb || fail "entry host b exited $?"

case "$short" in *"short:4 "*"data: [DONE]"*) ;; *) fail "the short answer is not whole" ;; esac
case "$long" in *"long:0 long:1 long:2 long:3 long:4 long:5 long:6 long:7 "*) ;; *) fail "the long answer is not whole" ;; esac
[ "$check" = '{"ok":true}' ] || fail "the check was not answered"
[ "$hold" = '{"ok":true}' ] || fail "the hold was not answered"
case "$again" in *already_ran*) ;; *) fail "the repeated hold was not told that it ran" ;; esac
case "$counted" in *'"hold-17":1}'*) ;; *) fail "the hold did not run once" ;; esac
say "every answer was whole and the seat hold ran once"
