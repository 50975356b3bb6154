#!/bin/bash
# A config takes a key away and gives a tenant a name of 64 bytes or more. The
# store accepts it; the hosts ignore it as a whole, and go on accepting the key.
# With TROUBLE=0 the new name has 63 bytes.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
CONFIG_MS=2000   # config_ms
ASKED_S=20       # how long the key is tried after that
HOSTS="a b"
port_of() { case $1 in a) echo $((BASE + 30)) ;; b) echo $((BASE + 35)) ;; esac; }
SEEDS="\"127.0.0.1:$(($(port_of a) + 2))\", \"127.0.0.1:$(($(port_of b) + 2))\""
LONG="Shymkent Municipal Ice Works - Sairam hall, kiosk and school tours"
[ "$TROUBLE" != 0 ] || LONG=${LONG:0:63}

# config_with VERSION NAME KEYS
config_with() {
    put keyed.op config "{\"version\":$1,\"routes\":[$(route /safe/ safe false false)],\"services\":[{\"name\":\"p\"}],\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,\"header_timeout_ms\":1000,\"idle_timeout_ms\":9000},\"tenants\":[{\"name\":\"sairam-hall\",\"api_keys\":[\"secret-1\"]},{\"name\":\"$2\",\"api_keys\":[$3]}]}"
}
# ask_with KEY NAME
ask_with() {
    PORT=$(port_of "$2")
    CREDENTIAL="Cuminquay-Credential: $1" ask /safe/ok
    note "host=$2 key=$1 attempt=a$REQUEST_NUMBER after_confirmation_ms=$(($(now_ms) - CONFIRMED)) answer=${ANSWER%% *} run=$(arrived)"
}

fleetstandin store "$BASE"
wait_for_http "http://$STORE_ADDR/ok"
replica p1 $((BASE + 20)) p
replica p2 $((BASE + 21)) p
config_with 5 ice-works '"secret-2","secret-3"'
for name in $HOSTS; do edge "$name" "$name" "$(port_of "$name")"; done
for name in $HOSTS; do
    wait_for_http "http://127.0.0.1:$(($(port_of "$name") + 1))/readyz"
    wait_for_output "name=p2" cat "$DIR/$name.log"
done
sleep 2
CONFIRMED=$(now_ms)
for name in $HOSTS; do
    ask_with secret-3 "$name"
    [ "${ANSWER%% *}" = 200 ] || fail "$name didn't serve the key that it should"
done
config_with 6 "$LONG" '"secret-2"'
CONFIRMED=$(now_ms)
note "version 6 is confirmed: without secret-3; the tenant is now called '$LONG', ${#LONG} bytes"
sleep_until $((CONFIRMED + CONFIG_MS + 200))
BROKEN=0
for i in $(seq $ASKED_S); do
    for name in $HOSTS; do
        ask_with secret-3 "$name"
        [ "$(arrived)" = 0 ] || BROKEN=$((BROKEN + 1))
    done
    sleep 1
done
for name in $HOSTS; do
    grep -h "event=record_ignored" "$DIR/$name.log" | sed "s/^/host $name logs: /" | tee -a "$RECORD"
    ask_with secret-1 "$name"
    [ "${ANSWER%% *}" = 200 ] || fail "$name doesn't serve the key that remains"
done
note "requests with the key that was taken away, run by replicas later than $CONFIG_MS ms after the confirmation: $BROKEN of $((2 * ASKED_S))"
[ $BROKEN = 0 ]
