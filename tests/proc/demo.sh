#!/bin/bash
# Demonstration with two entry hosts in different zones, three engines and one
# plain service: sends a short prompt, a long one, a seat check and a seat
# hold, and checks the answers.
BUILD=${1:-build}
. tests/lib.sh

PORT_A=$((BASE + 10)) PORT_B=$((BASE + 20))
PORT_ENGINE1=$((BASE + 30)) PORT_ENGINE2=$((BASE + 31)) PORT_ENGINE3=$((BASE + 32)) PORT_PLAIN=$((BASE + 40))

platform
for port in $PORT_ENGINE1 $PORT_ENGINE2 $PORT_ENGINE3; do standin engine $port --step-ms 10; done
standin plain $PORT_PLAIN
add_host_row entrya $((PORT_A + 2)) valle-a ""
add_host_row entryb $((PORT_B + 2)) valle-b ""
add_host_row engine-1 $PORT_ENGINE1 valle-a modelo-cupos
add_host_row engine-2 $PORT_ENGINE2 valle-b modelo-cupos
add_host_row engine-3 $PORT_ENGINE3 valle-b modelo-cupos
add_host_row plain-1 $PORT_PLAIN valle-a reservas
post_host_list
entry entrya valle-a $PORT_A
entry entryb valle-b $PORT_B

say "== publish"
"$BUILD/cuminquayctl" publish --log "$LOG_ADDR" examples/*.toml || fail publish
wait_for_http "http://127.0.0.1:$((PORT_A + 1))/readyz"
wait_for_http "http://127.0.0.1:$((PORT_B + 1))/readyz"
wait_for_output "peers_heard=1.*services=2" \
    "$BUILD/cuminquayctl" status --at 127.0.0.1:$((PORT_A + 1))

AUTH_MODEL="Authorization: Bearer demo-analitica"
AUTH_SEATS="Authorization: Bearer demo-despacho"

say "== a short prompt, streamed, through entry host a"
short=$(curl -sN -D "$DIR/short.head" -H "$AUTH_MODEL" "http://127.0.0.1:$PORT_A/v1/completions" \
    -d '{"model":"cupos-1","prompt":"#short how many seats are left?","max_tokens":5,"stream":true}')
say "$short"

say "== a long prompt, answered in one piece, through entry host b"
{
    printf '{"model":"cupos-1","max_tokens":8,"prompt":"#long '
    head -c 400000 /dev/zero | tr '\0' 'x'
    printf '"}'
} >"$DIR/long.json"
long=$(curl -s -D "$DIR/long.head" -H "$AUTH_MODEL" --data-binary "@$DIR/long.json" \
    "http://127.0.0.1:$PORT_B/v1/completions")
say "$long"

say "== a seat check and a seat hold"
check=$(curl -s -D "$DIR/check.head" -H "$AUTH_SEATS" "http://127.0.0.1:$PORT_A/s/reservas/seats/17")
say "$check"
hold=$(curl -s -D "$DIR/hold.head" -H "$AUTH_SEATS" -H "Idempotency-Key: hold-17" -X POST \
    -d '{"seat":17}' "http://127.0.0.1:$PORT_A/s/reservas/holds")
say "$hold"
again=$(curl -s -H "$AUTH_SEATS" -H "Idempotency-Key: hold-17" -X POST \
    -d '{"seat":17}' "http://127.0.0.1:$PORT_B/s/reservas/holds")
case "$again" in *in_progress*)
    say "the same hold through entry host b, at once: $again"
    sleep 1
    again=$(curl -s -H "$AUTH_SEATS" -H "Idempotency-Key: hold-17" -X POST \
        -d '{"seat":17}' "http://127.0.0.1:$PORT_B/s/reservas/holds")
    ;;
esac
say "the same hold through entry host b: $again"

say "== events of each request in order of time, from all entry hosts"
for name in short long check hold; do
    id=$(sed -n 's/^[Xx]-[Rr]equest-[Ii]d: *\([0-9a-f]*\).*/\1/p' "$DIR/$name.head")
    say "-- $name $id"
    "$BUILD/cuminquayctl" explain --at 127.0.0.1:$((PORT_A + 1)) \
        --at 127.0.0.1:$((PORT_B + 1)) "$id" || fail "explain $name"
done

say "== how often the plain service ran each key"
counted=$(curl -s "http://127.0.0.1:$PORT_PLAIN/counters")
say "$counted"

say "== stop the entry hosts with SIGTERM"
kill -TERM $PID_entrya $PID_entryb
wait $PID_entrya || fail "entry host a exited with status $?"
wait $PID_entryb || fail "entry host b exited with status $?"

case "$short" in *"short:4 "*"data: [DONE]"*) ;; *) fail "the answer to the short prompt is incomplete" ;; esac
case "$long" in *"long:0 long:1 long:2 long:3 long:4 long:5 long:6 long:7 "*) ;; *) fail "the answer to the long prompt is incomplete" ;; esac
[ "$check" = '{"ok":true}' ] || fail "the answer to the seat check was $check"
[ "$hold" = '{"ok":true}' ] || fail "the answer to the seat hold was $hold"
case "$again" in *already_ran*) ;; *) fail "the answer to the repeated hold does not say that it ran: $again" ;; esac
case "$counted" in *'"hold-17":1}'*) ;; *) fail "the hold did not run exactly once: $counted" ;; esac
say "all answers were complete and the seat hold ran once"
