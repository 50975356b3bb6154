#!/bin/bash
# A fleet's configuration is checked before it is sent: findings, exit codes
# (0 none, 1 findings, 2 no configuration, 3 no store), and what differs from
# the version that the store has.
BUILD=${1:-build}
. tests/proc/relaylib.sh
CTL="$BUILD/cuminquayctl"
# expect_run WHAT CODE PATTERN COMMAND...: runs the command; compares its exit
# code, and its output with the shell pattern
expect_run() {
    local what=$1 wanted_code=$2 pattern=$3 out code
    shift 3
    out=$("$@" 2>&1)
    code=$?
    [ $code = "$wanted_code" ] || fail "$what: exit code $code, wanted $wanted_code: $out"
    expect "$what" "$out" "$pattern"
}
config_text 5 "$(route /safe/ safe false false)" >"$DIR/old.json"
config_text 6 "$(route /safe/ safe false false),$(route /more/ safe false false)" >"$DIR/new.json"
config_text 6 "$(route /safe/ safe false false),$(route /safe/ safe false false)" >"$DIR/twice.json"
echo '{"version":' >"$DIR/torn.json"
expect_run "a sound configuration" 0 "*: valid, version 6" "$CTL" check --fleet "$DIR/new.json"
expect_run "a route that never matches" 1 "*twice.json: never_matches: route fleet.example/safe/: *" "$CTL" check --fleet "$DIR/twice.json"
expect_run "the same as JSON" 1 '{"file":*"kind":"never_matches"*}' "$CTL" check --fleet --json "$DIR/twice.json"
expect_run "no configuration" 2 "*torn.json: *" "$CTL" check --fleet "$DIR/torn.json"
expect_run "no store" 3 "*does not answer*" "$CTL" diff --store "$STORE_ADDR" "$DIR/new.json"
fleetstandin store "$BASE"
wait_for_http "http://$STORE_ADDR/ok"
expect_run "a store without a configuration" 1 "*has no configuration*" "$CTL" diff --store "$STORE_ADDR" "$DIR/new.json"
put keyed.op evacuate/b '{}'
put keyed.op config "$(cat "$DIR/old.json")"
expect_run "what differs" 0 "*new.json: change: route fleet.example/more/: added*" "$CTL" diff --store "$STORE_ADDR" "$DIR/new.json"
expect_run "a version that is in force" 1 "*old.json: contradiction: version: 5 isn't newer than 5*" "$CTL" diff --store "$STORE_ADDR" "$DIR/old.json"
