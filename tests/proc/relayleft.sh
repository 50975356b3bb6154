#!/bin/bash
# A host that left for good is no longer looked for: addresses of hosts that
# were replaced would fill the table of peers in the end.
BUILD=${1:-build}
. tests/proc/relaylib.sh
A=$((BASE + 10)) B=$((BASE + 15))
fleetstandin store "$BASE"
wait_for "http://$STORE/ok"
replica p1 $((BASE + 20)) p
config 5 "$ROUTES"
relay a "$A"
wait_for "http://127.0.0.1:$((A + 1))/readyz"
SEEDS="\"127.0.0.1:$((A + 2))\""
relay b "$B"
sought() { curl -sf "http://127.0.0.1:$((A + 1))/metrics" | grep "^cuminquay_peers_sought "; }
wait_until "peers_sought 1" sought
say "a peer that dials is known"
kill -TERM "$PID_b"
sleep 6
wait_until "peers_sought 0" sought
say "a peer that left is forgotten"
relay b "$B"
wait_until "peers_sought 1" sought
say "and known again when it comes back"
