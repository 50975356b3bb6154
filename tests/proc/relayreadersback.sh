#!/bin/bash
# Of five hosts two read the upstreams for the others. Both are killed and start
# again, and meanwhile an upstream's entry is removed. The others learn within
# 3 s that it is gone, as do those that started.
BUILD=${1:-build}
. tests/proc/relaylib.sh
. tests/proc/readerslib.sh
five_hosts 3
for round in 1 2 3; do
    find_readers
    kill_readers_and_drop x$round
    for name in $READERS; do start_host $name; done
    sleep 2.5
    for name in $OTHERS; do
        knows_gone $name x$round || fail "round $round: $name does not know that x$round is gone"
    done
    say "round $round: the hosts that went on know that the upstream is gone"
    sleep 3
done
