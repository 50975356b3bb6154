#!/bin/bash
# A deletion is lost at hosts of this version when the readers of their zone
# restart as an older version: of five hosts two read the upstreams for the
# others, and both are killed while an upstream's entry is removed. The older
# version then says that it has all records, without that deletion. The hosts
# that went on still learn within 3 s that the upstream is gone.
BUILD=${1:-build}
# The last landed version that doesn't ask whether it has the deletions.
OLD=${OLD:-72adfd5}
. tests/proc/upgradelib.sh
. tests/proc/readerslib.sh
# Programs as which the readers start again, one round after the other.
ROUNDS=${ROUNDS:-"old,old old,old old,new new,old"}
program_of() { if [ "$1" = old ]; then echo "$OLD_PROGRAM"; else echo "$NEW_PROGRAM"; fi; }
build_old
five_hosts "$(echo $ROUNDS | wc -w)"
read -r first second <<<"$READERS"
round=0
for programs in $ROUNDS; do
    round=$((round + 1))
    kill_readers_and_drop x$round
    HOST_PROGRAM=$(program_of "${programs%,*}") start_host "$first"
    HOST_PROGRAM=$(program_of "${programs#*,}") start_host "$second"
    sleep 2.5
    for name in $OTHERS; do
        knows_gone "$name" x$round || note "round $round, readers as $programs: $name does not know that x$round is gone"
    done
    say "round $round, readers as $programs: looked at$OTHERS"
    sleep 3
done
end_notes
