#!/bin/bash
# Two entry hosts: one that the store turns away learns from the other, a key
# that was taken away included; one that is killed and started again is served
# what it needs, also without the store.
BUILD=${1:-build}
. tests/proc/relaylib.sh
A=$((BASE + 10)) B=$((BASE + 15))
SEEDS="\"127.0.0.1:$((A + 2))\", \"127.0.0.1:$((B + 2))\""
fleetstandin store $((BASE + 1))
two_replicas
relay a "$A"
# The second host has a store of its own, which never answers it.
curl -sf -X POST "http://127.0.0.1:$((BASE + 1))/refuse?on=1" >/dev/null
STORE=127.0.0.1:$((BASE + 1)) relay b "$B"
wait_for "http://127.0.0.1:$((A + 1))/readyz"
wait_for "http://127.0.0.1:$((B + 1))/readyz"
say "ready without the store"
PORT=$B
wait_until "name=p2" cat "$DIR/b.log"
expect_ask "served without the store" "200 *" /safe/ok
put keyed.op config "{\"version\":6,\"routes\":[$ROUTES],\"services\":[{\"name\":\"p\"}],\"tenants\":[]}"
wait_until "version=6" cat "$DIR/b.log"
put keyed.op config "{\"version\":8,\"routes\":[$ROUTES],\"services\":[{\"name\":\"p\"}],\"tenants\":[{\"name\":\"team-1\",\"api_keys\":[\"secret-2\"]}]}"
wait_until "version=8" cat "$DIR/b.log"
expect_ask "a key that was taken away" "401 *" /safe/ok
KEY="Cuminquay-Credential: secret-2" expect_ask "the new key" "200 *" /safe/ok
# A configuration that is longer than most messages between hosts.
{
    printf '{"version":9,"routes":[%s],"services":[{"name":"p"}],' "$ROUTES"
    head -c 400000 /dev/zero | tr '\0' ' '
    printf '"tenants":[{"name":"team-1","api_keys":["secret-2","secret-3"]}]}'
} | curl -sf -X POST --data-binary @- "http://$STORE/put?topic=keyed.op&key=config" >/dev/null
wait_until "version=9" cat "$DIR/b.log"
KEY="Cuminquay-Credential: secret-3" expect_ask "a long configuration" "200 *" /safe/ok
announce p1 $((BASE + 20)) p draining
wait_until "event=leaving.*upstream=p1" cat "$DIR/b.log"
KEY="Cuminquay-Credential: secret-2" expect_ask "an upstream that is leaving gets nothing" "200 from p2" /safe/ok
kill -KILL "$PID_b"
sleep 0.3
STORE=127.0.0.1:$((BASE + 1)) relay b "$B"
wait_for "http://127.0.0.1:$((B + 1))/readyz"
wait_until "name=p2" cat "$DIR/b.log"
KEY="Cuminquay-Credential: secret-2" expect_ask "after a kill" "200 from p2" /safe/ok
