#!/bin/bash
# Four hosts of an older version are replaced one after the other by this one,
# and back again, while callers on kept and new connections send requests of all
# kinds, keys and routes come and go, and an upstream leaves and comes back.
#
# Environment, besides that of upgradelib.sh: SEED draws the order of hosts,
# STOPS is the number of replacements, CHANGE_MS the time between changes.
BUILD=${1:-build}
. tests/proc/upgradelib.sh
SEED=${SEED:-1}
STOPS=${STOPS:-8}
CHANGE_MS=${CHANGE_MS:-3500}
RANDOM=$SEED
build_old
HOST_PROGRAM=$OLD_PROGRAM
cut_fleet 4
usual_callers
changes &
CHANGES_PID=$!
PIDS="$PIDS $CHANGES_PID"
sleep 1
replaced=0
program=$NEW_PROGRAM
while [ $replaced -lt "$STOPS" ]; do
    for i in $(for h in $HOST_NUMBERS; do echo "$RANDOM $h"; done | sort -n | sed 's/.* //'); do
        [ $replaced -lt "$STOPS" ] || break
        replace "$i" "$program"
        replaced=$((replaced + 1))
        sleep 0.$((RANDOM % 10))
    done
    if [ "$program" = "$NEW_PROGRAM" ]; then program=$OLD_PROGRAM; else program=$NEW_PROGRAM; fi
done
sleep 2
kill -TERM $CHANGES_PID
wait $CHANGES_PID 2>/dev/null
end_callers
end_drill
