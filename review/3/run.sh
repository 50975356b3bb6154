#!/bin/bash
# The store loses answers for 4.5 s. Among them is, at each of four hosts, the
# answer to the read that waits for the next config, which takes a key away.
# Long after the store answers everything again, the key is still accepted.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
LOST_FOR_MS=4500   # for_s of platform_lost
STABLE_MS=3000     # stable_window_ms
CONFIG_MS=2000     # config_ms
OUTER_MS=5000      # outer_ms
HOSTS="a1 a2 b c"
zone_of() { echo "${1:0:1}"; }
port_of() {
    case $1 in a1) echo $((BASE + 30)) ;; a2) echo $((BASE + 35)) ;;
    b) echo $((BASE + 40)) ;; c) echo $((BASE + 45)) ;; esac
}
PROXY=127.0.0.1:$((BASE + 1))
SEEDS="\"127.0.0.1:$(($(port_of a1) + 2))\", \"127.0.0.1:$(($(port_of b) + 2))\", \"127.0.0.1:$(($(port_of c) + 2))\""

# config_with VERSION KEYS
config_with() {
    put keyed.op config "{\"version\":$1,\"routes\":[$(route /safe/ safe false false)],\"services\":[{\"name\":\"p\"}],\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,\"header_timeout_ms\":1000,\"idle_timeout_ms\":9000},\"tenants\":[{\"name\":\"team-1\",\"api_keys\":[$2]}]}"
}

fleetstandin store "$BASE"
wait_for_http "http://$STORE_ADDR/ok"
target/review/losing_proxy "$PROXY" "$STORE_ADDR" "topic=keyed.op" "$DIR/lose" "$DIR/counts" &
PIDS="$PIDS $!"
replica p1 $((BASE + 20)) p
replica p2 $((BASE + 21)) p
# The replicas write to their entries every heartbeat_ms.
(
    while sleep 1.2; do
        put_upstream p1 $((BASE + 20)) p ready
        put_upstream p2 $((BASE + 21)) p ready
    done
) &
PIDS="$PIDS $!"
config_with 5 '"secret-1","secret-2"'
for name in $HOSTS; do edge "$name" "$(zone_of "$name")" "$(port_of "$name")" "$PROXY"; done
for name in $HOSTS; do
    wait_for_http "http://127.0.0.1:$(($(port_of "$name") + 1))/readyz"
    wait_for_output "name=p2" cat "$DIR/$name.log"
done
sleep 4

# ask_with KEY NAME: asks the host; notes the answer
ask_with() {
    PORT=$(port_of "$2")
    CREDENTIAL="Cuminquay-Credential: $1" ask /safe/ok
    note "host=$2 key=$1 attempt=a$REQUEST_NUMBER after_confirmation_ms=$(($(now_ms) - CONFIRMED)) answer=${ANSWER%% *} run=$(arrived)"
}

CONFIRMED=$(now_ms)
for name in $HOSTS; do
    ask_with secret-2 "$name"
    [ "${ANSWER%% *}" = 200 ] || fail "$name didn't serve the key that it should"
done

BEGIN=$(now_ms)
[ "$TROUBLE" = 0 ] || touch "$DIR/lose"
note "the store begins to lose answers (TROUBLE=$TROUBLE)"
sleep 0.6
config_with 6 '"secret-1"'
CONFIRMED=$(now_ms)
note "version 6, without secret-2, is confirmed"
sleep_until $((BEGIN + LOST_FOR_MS))
rm -f "$DIR/lose"
END=$(now_ms)
note "the store answers everything again; of its answers to the hosts meanwhile: $(cat "$DIR/counts" 2>/dev/null)"

# From now on the machines are in touch, and the bound has passed, stretched by
# outer_ms too.
START=$((END + STABLE_MS + 200))
[ $START -gt $((CONFIRMED + CONFIG_MS + OUTER_MS + 100)) ] || START=$((CONFIRMED + CONFIG_MS + OUTER_MS + 100))
sleep_until $START
BROKEN=0
for i in $(seq 16); do
    for name in $HOSTS; do
        ask_with secret-2 "$name"
        case "${ANSWER%% *}" in
        401) ;;
        *) [ "$(arrived)" = 0 ] || BROKEN=$((BROKEN + 1)) ;;
        esac
    done
    sleep 0.8
done
for name in $HOSTS; do
    grep -h "event=config " "$DIR/$name.log" | sed "s/^time_us=\([0-9]*\)[0-9]\{3\} .*version=\([0-9]*\).*/host=$name version=\2 in force at_ms=\1/" >>"$RECORD"
    ask_with secret-1 "$name"
    [ "${ANSWER%% *}" = 200 ] || fail "$name doesn't serve the key that remains"
done
note "requests with the key that was taken away, run by replicas, by machines in touch and after the bound: $BROKEN of 64"
[ $BROKEN = 0 ]
