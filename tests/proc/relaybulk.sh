#!/bin/bash
# A host starts while it can't reach the store, and its eight peers know 3,000
# upstreams: it gets the records from two of them at a time, not from all.
BUILD=${1:-build}
. tests/proc/relaylib.sh
RECORDS=3000
# Frame of one record: value, key and encoding.
RECORD_BYTES=130
NAMES="a b c d e f g h"
port_of() { echo $((BASE + 30 + 5 * $(printf '%d' "'$1") - 5 * 97)); }
SEEDS=""
for name in $NAMES; do SEEDS="$SEEDS${SEEDS:+, }\"127.0.0.1:$(($(port_of $name) + 2))\""; done
two_replicas
put_many $RECORDS
put_upstream last $((BASE + 20)) p ready
# sent_bytes: prints how much the eight have sent to peers
sent_bytes() {
    local name total=0
    for name in $NAMES; do
        total=$((total + $(curl -s "http://127.0.0.1:$(($(port_of $name) + 1))/metrics" | sed -n 's/^cuminquay_peer_bytes_out_total //p')))
    done
    echo $total
}
for name in $NAMES; do entry_with_store $name "$(port_of $name)"; done
for name in $NAMES; do wait_for_http "http://127.0.0.1:$(($(port_of $name) + 1))/readyz"; done
sleep 4
silence 1
sleep 1
before=$(sent_bytes)
sleep 5
idle=$(($(sent_bytes) - before))
before=$(sent_bytes)
entry_with_store z $((BASE + 100))
wait_for_http "http://127.0.0.1:$((BASE + 101))/readyz"
wait_for_output "cuminquay_upstreams $((RECORDS + 3))" curl -s "http://127.0.0.1:$((BASE + 101))/metrics"
sleep 5
sent=$(($(sent_bytes) - before - idle))
limit=$((RECORDS * RECORD_BYTES * 2 * 2))
say "the eight sent $sent bytes to the new host, without what they send anyhow"
[ "$sent" -le "$limit" ] || fail "wanted at most $limit, twice the records from two peers"
