#!/bin/bash
# A large configuration is never in force while the store sends slowly: its
# answer takes longer than the time limit of a call, though bytes arrive all the
# time, or is asked for again beside itself until it does.
BUILD=${1:-build}
. tests/proc/relaylib.sh
ROUTES_MORE=1100
PACE=100000
names() { seq -f "h%g" "$1"; }
port_of() { echo $((BASE + 40 + 5 * ${1#h})); }
SEEDS="\"127.0.0.1:$(($(port_of h1) + 2))\", \"127.0.0.1:$(($(port_of h2) + 2))\""
pace() { curl -sf "http://$STORE_ADDR/pace?bytes_per_s=$1" >/dev/null; }
written() { curl -sf "http://$STORE_ADDR/written"; }
# large_config VERSION: writes a configuration with ROUTES_MORE routes more; its
# text is in CONFIG
large_config() {
    local i more=""
    for i in $(seq $ROUTES_MORE); do more="$more,$(route "/more-$i/" safe false false)"; done
    CONFIG=$(config_text "$1" "$ROUTES$more")
    put keyed.op config "$CONFIG"
}
two_replicas
for name in $(names 3); do entry_with_store $name "$(port_of $name)"; done
for name in $(names 3); do
    wait_for_http "http://127.0.0.1:$(($(port_of $name) + 1))/readyz"
    wait_for_output "name=p2" cat "$DIR/$name.log"
done
sleep 2
# The hosts that run share what the store sends.
pace $((3 * PACE))
before=$(written)
large_config 6
len=${#CONFIG}
say "the configuration has $len bytes, $((len / PACE)) s at the pace of a host"
[ $len -gt $((PACE * 3 / 2)) ] || fail "the configuration is too short for this test"
sleep $((len / PACE + 2))
for name in $(names 3); do
    grep -q "event=config version=6" "$DIR/$name.log" || fail "$name does not have the configuration"
done
sent=$(($(written) - before))
say "the store sent $sent bytes to three hosts"
[ $sent -le $((3 * len * 13 / 10)) ] || fail "the store sent $sent bytes, wanted at most 1.3 times three configurations"
# So do those that start, whose snapshots are longer.
pace $((2 * PACE))
for name in h4 h5; do entry_with_store $name "$(port_of $name)"; done
sleep $((len * 4 / 3 / PACE + 3))
for name in h4 h5; do
    grep -q "event=config version=6" "$DIR/$name.log" || fail "$name does not have the configuration after its start"
    curl -sf -o /dev/null "http://127.0.0.1:$(($(port_of $name) + 1))/readyz" || fail "$name is not ready"
done
say "hosts that start have it too"
