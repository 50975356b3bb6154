# Functions for tests that cut entry hosts from upstreams. Each host reads the
# store at an IP address of its own, where the upstreams have that address, and
# a process of fleetstandin links forwards from there to the upstreams.
. tests/proc/relaylib.sh
UPSTREAMS=8
# Time after a cut begins, or ends, from which on callers must be served.
SETTLE_MS=3000
# Longest time that a request waits for its answer: one sent earlier than this
# before the end of a cut is answered within the cut.
WAIT_MS=3000
# One request of each kind at the same moment; + means POST.
EACH_KIND="/safe/ok,+/unsafe/ok,/stream/ok?n=4,+/once/stream/ok?n=4"

port_of() { echo $((BASE + 40 + 5 * $1)); }
ip_of() { echo "127.0.0.$((10 + $1))"; }
now_ms() { date +%s%3N; }

# cut_fleet COUNT [ZONE...]: starts the store, the upstreams, and the entry hosts
# 1 to COUNT with their links, in these zones in turn; default a
cut_fleet() {
    local i count=$1 also="" ports="" zones
    shift
    zones=("${@:-a}")
    HOST_NUMBERS=$(seq "$count")
    SEEDS="\"127.0.0.1:$(($(port_of 1) + 2))\", \"127.0.0.1:$(($(port_of 2) + 2))\""
    for i in $HOST_NUMBERS; do also="$also,$(ip_of "$i"):$BASE"; done
    for i in $(seq $UPSTREAMS); do ports="$ports,$((BASE + 20 + i))"; done
    fleetstandin store "$BASE" --also "${also#,}"
    wait_for_http "http://$STORE_ADDR/ok"
    for i in $(seq $UPSTREAMS); do replica "p$i" $((BASE + 20 + i)) p; done
    config 5 "$ROUTES"
    for i in $HOST_NUMBERS; do
        fleetstandin links $(($(port_of "$i") + 3)) --name "$(ip_of "$i")" --ports "${ports#,}"
        wait_for_http "http://127.0.0.1:$(($(port_of "$i") + 3))/ok"
        STORE_ADDR="$(ip_of "$i"):$BASE" entry_with_store "h$i" "$(port_of "$i")" "${zones[$(((i - 1) % ${#zones[@]}))]}"
    done
    for i in $HOST_NUMBERS; do
        wait_for_http "http://127.0.0.1:$(($(port_of "$i") + 1))/readyz"
        wait_for_output "name=p$UPSTREAMS" cat "$DIR/h$i.log"
    done
}

# cut HOW HOST...: cuts these hosts from all upstreams; HOW is silent, reset or
# refuse_new
cut() {
    local i how=$1
    shift
    for i in "$@"; do curl -sf "http://127.0.0.1:$(($(port_of "$i") + 3))/cut?how=$how" >/dev/null || fail "cut $i"; done
}

# heal HOST...: ends the cut of these hosts; with HEAL_RESETS=1 connections that
# were silent are reset
heal() {
    local i
    for i in "$@"; do curl -sf "http://127.0.0.1:$(($(port_of "$i") + 3))/heal?reset=${HEAL_RESETS:-0}" >/dev/null || fail "heal $i"; done
}

# callers NAME KINDS EVERY_MS FOR_MS [OPTION...]: sends requests to every host
# in the background; their lines are in NAME.calls, their ids begin with NAME
callers() {
    local i addrs="" name=$1 kinds=$2 every=$3 for_ms=$4
    shift 4
    for i in $HOST_NUMBERS; do addrs="$addrs,127.0.0.1:$(port_of "$i")"; done
    "$BUILD/tests/fleetstandin" callers --listen "${addrs#,}" --name "$name" --log "$DIR/$name.calls" \
        --kinds "$kinds" --every-ms "$every" --for-ms "$for_ms" "$@" 2>>"$DIR/standin.log" &
    CALLERS_PID=$!
    PIDS="$PIDS $!"
}

# sent_between NAME HOST FROM TO: prints the lines of the requests sent to the
# host from FROM to TO, in ms
sent_between() {
    grep " port=$(port_of "$2") " "$DIR/$1.calls" |
        awk -v from="$3" -v to="$4" '{split($5, at, "="); if (at[2] >= from && at[2] < to) print}'
}

# summary NAME FROM TO: prints a line a host: how the requests sent from FROM to
# TO ended
summary() {
    local i
    for i in $HOST_NUMBERS; do
        say "  h$i: $(sent_between "$1" "$i" "$2" "$3" | awk '{split($6, r, "="); split($7, t, "="); n[r[2]]++
            if (t[2] > slowest) slowest = t[2]}
            END {for (k in n) printf "%s=%d ", k, n[k]; printf "slowest_ms=%d", slowest}')"
    done
}

# served NAME FROM TO HOST...: prints how many of the requests sent to these
# hosts from FROM to TO were served, and how many were sent
served() {
    local i name=$1 from=$2 to=$3
    shift 3
    for i in "$@"; do sent_between "$name" "$i" "$from" "$to"; done |
        awk '{n++; ok += $6 == "result=served"} END {print ok + 0, n + 0}'
}

# expect_share WHAT NAME FROM TO CUT OTHERS: from FROM to TO, requests to the
# hosts CUT must be served at least two thirds as often as those to OTHERS, and
# at most 10 + 1 in 50 of those to CUT and OTHERS may fail at CUT. Those to
# OTHERS must be served but for 1 in 50. Writes what fails to the file of
# failures.
expect_share() {
    local cut_ok cut_sent ok sent
    # shellcheck disable=SC2086
    read -r cut_ok cut_sent < <(served "$2" "$3" "$4" $5)
    # shellcheck disable=SC2086
    read -r ok sent < <(served "$2" "$3" "$4" $6)
    say "$1: $cut_ok of $cut_sent served at the cut hosts, $ok of $sent at the others"
    summary "$2" "$3" "$4"
    [ "$cut_sent" -ge 20 ] || note "$1: $cut_sent requests sent to the cut hosts, wanted at least 20"
    [ $((50 * (sent - ok))) -le "$sent" ] || note "$1: $ok of $sent served at the others, wanted 49 in 50"
    [ "$sent" = 0 ] || [ $((3 * cut_ok * sent)) -ge $((2 * ok * cut_sent)) ] ||
        note "$1: $cut_ok of $cut_sent served at the cut hosts, $ok of $sent at the others, wanted two thirds of their share"
    [ $((50 * (cut_sent - cut_ok - 10))) -le $((cut_sent + sent)) ] ||
        note "$1: $((cut_sent - cut_ok)) failed at the cut hosts of $((cut_sent + sent)) first tries, wanted at most 10 + 1 in 50"
}

# expect_served WHAT NAME FROM TO HOST...: from FROM to TO, at least 49 in 50 of
# the requests to each of these hosts must be served
expect_served() {
    local i ok sent what=$1 name=$2 from=$3 to=$4
    shift 4
    for i in "$@"; do
        read -r ok sent < <(served "$name" "$from" "$to" "$i")
        say "$what: $ok of $sent served at h$i"
        [ "$sent" -ge 20 ] || note "$what: $sent requests sent to h$i, wanted at least 20"
        [ $((50 * (sent - ok))) -le "$sent" ] || note "$what: $ok of $sent served at h$i, wanted 49 in 50"
    done
    summary "$name" "$from" "$to"
}

# expect_once NAME: no request that may not be repeated has reached upstreams
# twice, none that was answered with 503 has reached one, and each that was
# served has
expect_once() {
    local twice untrue unknown
    twice=$(grep -E " /(unsafe|once)/.* attempt=$1" "$ARRIVALS_FILE" | sed 's/.*attempt=\([^ ]*\) .*/\1/' | sort | uniq -d | wc -l)
    [ "$twice" = 0 ] || note "$1: $twice requests that may not be repeated reached upstreams twice"
    grep " result=503 " "$DIR/$1.calls" | sed 's/^id=\([^ ]*\) .*/\1/' | sort >"$DIR/refused"
    sed -n 's/.*attempt=\([^ ]*\) .*/\1/p' "$ARRIVALS_FILE" | sort -u >"$DIR/arrived"
    untrue=$(comm -12 "$DIR/arrived" "$DIR/refused" | wc -l)
    unknown=$(grep " result=served " "$DIR/$1.calls" | sed 's/^id=\([^ ]*\) .*/\1/' | sort | comm -13 "$DIR/arrived" - | wc -l)
    say "$1: $(wc -l <"$DIR/$1.calls") sent, $twice ran twice; $(wc -l <"$DIR/refused") answers 503, of which $untrue reached an upstream"
    [ "$untrue" = 0 ] || note "$1: $untrue requests answered with 503 reached an upstream"
    [ "$unknown" = 0 ] || note "$1: $unknown requests were served, but have no line of an upstream"
}

# note TEXT: records a failure; the script goes on, and ends with end_notes
note() {
    say "FAILED: $*"
    echo "$*" >>"$DIR/notes"
}

# end_notes: fails if a failure was recorded
end_notes() { [ ! -s "$DIR/notes" ] || fail "$(wc -l <"$DIR/notes") of the bounds, first: $(head -1 "$DIR/notes")"; }
