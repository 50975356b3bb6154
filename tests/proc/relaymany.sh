#!/bin/bash
# Many upstreams register at once: the two hosts that read the store for five
# send each record to each peer about once.
BUILD=${1:-build}
. tests/proc/relaylib.sh
RECORDS=3000
# Frame of one record: value, key and encoding.
RECORD_BYTES=220
NAMES="a b c d e"
port_of() { echo $((BASE + 30 + 5 * $(printf '%d' "'$1") - 5 * 97)); }
SEEDS="\"127.0.0.1:$(($(port_of a) + 2))\", \"127.0.0.1:$(($(port_of b) + 2))\""
two_replicas
for name in $NAMES; do entry_with_store $name "$(port_of $name)"; done
for name in $NAMES; do wait_for_http "http://127.0.0.1:$(($(port_of $name) + 1))/readyz"; done
for name in $NAMES; do wait_for_output "name=p2" cat "$DIR/$name.log"; done
sleep 2
put_many $RECORDS
# The log leaves out lines of a burst, but not this one.
sleep 2
put_upstream last $((BASE + 20)) p ready
for name in $NAMES; do wait_for_output "name=last " cat "$DIR/$name.log"; done
total=0
for name in $NAMES; do
    bytes=$(curl -s "http://127.0.0.1:$(($(port_of $name) + 1))/metrics" | sed -n 's/^cuminquay_peer_bytes_out_total //p')
    total=$((total + bytes))
    say "$name sent $bytes bytes"
done
limit=$((RECORDS * RECORD_BYTES * 2 * 4 * 2))
[ "$total" -le "$limit" ] || fail "hosts sent $total bytes, wanted at most $limit, twice the records from two readers to four peers"
say "the hosts sent at most twice the records"
