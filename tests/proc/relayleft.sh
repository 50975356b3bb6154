#!/bin/bash
# A peer that was stopped is removed from the addresses that a host tries to
# connect to. Otherwise the addresses of replaced hosts would fill the table of
# peers.
BUILD=${1:-build}
. tests/proc/relaylib.sh
PORT_A=$((BASE + 10)) PORT_B=$((BASE + 15))
fleetstandin store "$BASE"
wait_for_http "http://$STORE_ADDR/ok"
replica p1 $((BASE + 20)) p
config 5 "$ROUTES"
entry_with_store a "$PORT_A"
wait_for_http "http://127.0.0.1:$((PORT_A + 1))/readyz"
SEEDS="\"127.0.0.1:$((PORT_A + 2))\""
entry_with_store b "$PORT_B"
# count_sought: prints the metric of the peers that host a tries to connect to
count_sought() { curl -sf "http://127.0.0.1:$((PORT_A + 1))/metrics" | grep "^cuminquay_peers_sought "; }
wait_for_output "peers_sought 1" count_sought
say "host a knows a peer that connected to it"
kill -TERM "$PID_b"
sleep 6
wait_for_output "peers_sought 0" count_sought
say "host a has removed the peer that stopped"
entry_with_store b "$PORT_B"
wait_for_output "peers_sought 1" count_sought
say "host a knows the peer again after its restart"
