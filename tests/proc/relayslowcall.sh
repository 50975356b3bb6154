#!/bin/bash
# Sound upstreams that take 2.8 s for each call, with a time limit of 4 s: a
# second upstream is tried beside the first one, and every call is answered.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
host_h p1 p2
calls=""
for i in $(seq 6); do
    curl -s -m 8 -o /dev/null -w '%{http_code}\n' -H "Host: fleet.example" -H "$CREDENTIAL" \
        -H "Cuminquay-Attempt-Id: slow-$i" -H "Cuminquay-Deadline-Ms: 4000" \
        "http://127.0.0.1:$PORT/safe/slow?ms=2800" >>"$DIR/slow.got" &
    calls="$calls $!"
done
wait $calls
expect "slow calls" "$(sort "$DIR/slow.got" | uniq -c | tr -s ' \n' ' ')" " 6 200 "
wait_for_output "event=silent" cat "$DIR/h.log"
wait_for_output "event=stopped" cat "$DIR/h.log"
say "slow calls are answered, and their second attempts are stopped"
