#!/bin/bash
# Two entry hosts; the store of host b refuses every call. Host b must take the
# configuration (also the removal of an API key) and the list of upstreams from
# host a, also after host b was killed and started again.
BUILD=${1:-build}
. tests/proc/relaylib.sh
PORT_A=$((BASE + 10)) PORT_B=$((BASE + 15))
SEEDS="\"127.0.0.1:$((PORT_A + 2))\", \"127.0.0.1:$((PORT_B + 2))\""
fleetstandin store $((BASE + 1))
two_replicas
entry_with_store a "$PORT_A"
# Host b uses another store, which refuses every call.
curl -sf -X POST "http://127.0.0.1:$((BASE + 1))/refuse?on=1" >/dev/null
STORE_ADDR=127.0.0.1:$((BASE + 1)) entry_with_store b "$PORT_B"
wait_for_http "http://127.0.0.1:$((PORT_A + 1))/readyz"
wait_for_http "http://127.0.0.1:$((PORT_B + 1))/readyz"
say "host b is ready without the store"
PORT=$PORT_B
wait_for_output "name=p2" cat "$DIR/b.log"
expect_ask "served without the store" "200 *" /safe/ok
put keyed.op config "{\"version\":6,\"routes\":[$ROUTES],\"services\":[{\"name\":\"p\"}],\"tenants\":[]}"
wait_for_output "version=6" cat "$DIR/b.log"
put keyed.op config "{\"version\":8,\"routes\":[$ROUTES],\"services\":[{\"name\":\"p\"}],\"tenants\":[{\"name\":\"team-1\",\"api_keys\":[\"secret-2\"]}]}"
wait_for_output "version=8" cat "$DIR/b.log"
expect_ask "a key that was removed" "401 *" /safe/ok
CREDENTIAL="Cuminquay-Credential: secret-2" expect_ask "the new key" "200 *" /safe/ok
# A configuration of 400 kB, longer than most messages between hosts.
{
    printf '{"version":9,"routes":[%s],"services":[{"name":"p"}],' "$ROUTES"
    head -c 400000 /dev/zero | tr '\0' ' '
    printf '"tenants":[{"name":"team-1","api_keys":["secret-2","secret-3"]}]}'
} | curl -sf -X POST --data-binary @- "http://$STORE_ADDR/put?topic=keyed.op&key=config" >/dev/null
wait_for_output "version=9" cat "$DIR/b.log"
CREDENTIAL="Cuminquay-Credential: secret-3" expect_ask "a long configuration" "200 *" /safe/ok
put_upstream p1 $((BASE + 20)) p draining
wait_for_output "event=leaving.*upstream=p1" cat "$DIR/b.log"
CREDENTIAL="Cuminquay-Credential: secret-2" expect_ask "an upstream that is leaving gets no request" "200 from p2" /safe/ok
kill -KILL "$PID_b"
sleep 0.3
STORE_ADDR=127.0.0.1:$((BASE + 1)) entry_with_store b "$PORT_B"
wait_for_http "http://127.0.0.1:$((PORT_B + 1))/readyz"
wait_for_output "name=p2" cat "$DIR/b.log"
CREDENTIAL="Cuminquay-Credential: secret-2" expect_ask "host b after a kill and a restart" "200 from p2" /safe/ok
