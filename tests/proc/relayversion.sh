#!/bin/bash
# A caller that names a version of the weights which no upstream has: it is told
# that its requests did not run, and all other callers are served as before, at
# each host.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
hosts_a_and_b p2
for i in $(seq 6); do
    for port in $PORT_A $PORT_B; do
        PORT=$port
        expect_ask "a call that names another version, $i" "503 *\"no\"*" /unsafe/ok \
            -X POST -H "Cuminquay-Expect-Version: 1"
        expect_ask "a call that names no version, $i" "200 from p?" /unsafe/ok -X POST
    done
done
expect_ask "a call that names the version of the weights" "200 from p?" /safe/ok \
    -H "Cuminquay-Expect-Version: 2"
# Summaries to the peers are a second apart at most.
sleep 1.5
for port in $PORT_A $PORT_B; do
    PORT=$port
    for i in $(seq 6); do expect_ask "a call afterwards, $i" "200 from p?" /safe/ok; done
done
expect "upstreams taken for leaving" "$(cat "$DIR/a.log" "$DIR/b.log" | grep -c event=leaving)" 0
