#!/bin/bash
# Runs every test of a build and ends with the line 'N passed, N failed'. Tests
# listed in KNOWN-RED.txt are run too; when they fail, they are printed apart
# and don't count as failed. Exit status 0 when no other test failed.
BUILD=${1:-build}
export ASAN_OPTIONS=detect_leaks=0 UBSAN_OPTIONS=halt_on_error=1
passed=0 failed=0 known_failures=""

# known_red NAME: is the test listed in KNOWN-RED.txt?
known_red() { grep -q "^$1 |" KNOWN-RED.txt; }

# record NAME STATUS: counts the result of a test; STATUS 0 means passed
record() {
    if [ "$2" = 0 ]; then
        passed=$((passed + 1))
        known_red "$1" && echo "listed in KNOWN-RED.txt, and passes: $1"
        return
    fi
    if known_red "$1"; then
        known_failures="$known_failures$1"$'\n'
    else
        failed=$((failed + 1))
        echo "FAILED: $1"
    fi
}

# Several unit test programs run at once: most of them run in virtual time, and
# the others mostly wait for sockets.
UNITS_AT_ONCE=4
UNITS=$(mktemp -d)
trap 'rm -rf "$UNITS"' EXIT

# start_unit NAME: runs a GoogleTest program; its output and status are kept
start_unit() {
    "$BUILD/tests/$1_test" --gtest_color=no >"$UNITS/$1.out" 2>&1
    echo $? >"$UNITS/$1.code"
}

# record_unit NAME: records each test of a program that has run. A program that
# ends without GoogleTest's summary counts as a failed test.
record_unit() {
    local line name out=$UNITS/$1.out code
    code=$(cat "$UNITS/$1.code")
    while read -r line; do
        name=$(echo "$line" | sed 's/^\[[^]]*\] //; s/[ ,].*//')
        case "$line" in
        "[       OK ]"*) record "$name" 0 ;;
        "[  FAILED  ]"*"ms)") record "$name" 1 ;;
        esac
    done <"$out"
    grep -q " ran\. (" "$out" || record "$1_test" 1
    if [ "$code" != 0 ]; then
        grep -vE "^\[ +(RUN|OK) |^\[-+\]|^$" "$out" | tail -40
    fi
}

# run_script FILE: runs a script for at most 180 s and records it as one test
run_script() {
    local out name
    name="proc/$(basename "$1" .sh)"
    out=$(mktemp)
    timeout 180 bash "$1" "$BUILD" >"$out" 2>&1
    local code=$?
    record "$name" $code
    [ $code = 0 ] || tail -20 "$out"
    rm -f "$out"
}

units="audit config emptied json wire h1 platform oddrecords quarantine crashcall crashfleet retract cutfleet facts handfleet hedge hedgefleet memuse rate ratecore cold pace batchplace cell retry brokenstream return reach replay hist scn slack soak sock stop stopfleet store descriptor inbound smuggle outbound events earlyanswer outpeer storecopy readplan lostanswers outage reservations tick targets"
for unit in $units; do
    while [ "$(jobs -rp | wc -l)" -ge $UNITS_AT_ONCE ]; do wait -n; done
    start_unit "$unit" &
done
wait
for unit in $units; do record_unit "$unit"; done
for script in ports demo fleetcheck badinput oddreports hangup apiendless operator drain holds giant orders retention \
    relay relaywake relaypeers relayreads relayreaders relayreadersback relaybulk relayleft relayendless relaydescriptors relaybodies relayslowreaders relayleaving relaymany \
    relayoutage relayremoved relaylostpoll relaylostconfig relayslowbytes relaypoison relaypoisonkept relaycells relayera relayerastart relaylimit relaycrashcall relaycrashkept relayidlechange relaystop relaystoplate \
    relayrefusalagain relayslowcall relaybrokenstream relaytornhead relayversion relayteams relaysmuggle \
    relaycut relaycutall relaycutmost relaycutgone relayemptied relayoddentries relayupgrade relayupgradereaders; do
    run_script "tests/proc/$script.sh"
done

if [ -n "$known_failures" ]; then
    echo "known red, see KNOWN-RED.txt:"
    printf '%s' "$known_failures" | sed 's/^/  /'
fi
echo "$passed passed, $failed failed"
[ $failed = 0 ]
