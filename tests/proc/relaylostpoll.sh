#!/bin/bash
# The answers to all waiting reads are lost in one moment. 3 s later an upstream
# says that it is leaving, and a configuration with one route more is written:
# the host knows both within 2 s.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
host_h p2
sleep 1
# A new record ends the read of the upstreams, and the next one starts.
replica p3 $((BASE + 22)) p
wait_for_output "name=p3" cat "$DIR/h.log"
sleep 0.4
silence 1 reads=drop
silence 0
sleep 3
put_upstream p1 $((BASE + 20)) p draining
config 6 "$ROUTES,$(route /added/ safe false false)"
sleep 2
grep -q "event=leaving.*upstream=p1" "$DIR/h.log" || fail "the leaving upstream is not known 2 s after its notice"
say "the leaving upstream is known 2 s after its notice"
grep -q "event=config version=6" "$DIR/h.log" || fail "the configuration is not in force 2 s after it was written"
say "the configuration is in force 2 s after it was written"
