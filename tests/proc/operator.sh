#!/bin/bash
# Settings, service files and cuminquayctl: exit codes (0 done, 1 refused, 2
# usage error, 3 unreachable) and error messages that say what to do.
BUILD=${1:-build}
. tests/proc/fleet.sh
start_fleet
CTL="$BUILD/cuminquayctl"

# expect CODE TEXT COMMAND...: fails unless the command exits with CODE and
# prints TEXT
expect() {
    local code=$1 text=$2 out got
    shift 2
    out=$("$@" 2>&1)
    got=$?
    [ $got = "$code" ] || fail "wanted exit code $code, got $got: $* : $out"
    case "$out" in *"$text"*) ;; *) fail "wanted output with the text $text, got: $out" ;; esac
    say "ok $code $text"
}

expect 0 "a.toml: valid" "$BUILD/cuminquay" --settings "$DIR/a.toml" --check
expect 0 "cuminquay 0." "$BUILD/cuminquay" --version
expect 2 "give --settings FILE" "$BUILD/cuminquay"
expect 2 "give a readable file" "$BUILD/cuminquay" --settings "$DIR/none.toml"
expect 2 "write debug, info, warn or error" "$BUILD/cuminquay" --settings "$DIR/a.toml" --log-level loud
expect 2 "is not free" "$BUILD/cuminquay" --settings "$DIR/a.toml"
sed 's/callers/caller/' "$DIR/a.toml" >"$DIR/bad.toml"
expect 2 "bad.toml:6: listen.caller: unknown key" "$BUILD/cuminquay" --settings "$DIR/bad.toml"

expect 0 "modelo-cupos: valid" $CTL check examples/*.toml
sed 's/kind = "plain"/kind = "plane"/' examples/reservas.toml >"$DIR/wrong.toml"
sed 's/weight = 1/weight = 2/' examples/modelo-cupos.toml >"$DIR/next.toml"
expect 2 'found plane; write "model" or "plain"' $CTL check "$DIR/wrong.toml"
expect 2 'found plane' $CTL publish --log $LOG_ADDR "$DIR/next.toml" "$DIR/wrong.toml"
expect 0 "version 1 is in force already" $CTL publish --log $LOG_ADDR examples/modelo-cupos.toml
expect 0 "version 2 is published" $CTL publish --log $LOG_ADDR "$DIR/next.toml"
expect 0 "modelo-cupos version 2" $CTL config --log $LOG_ADDR show
expect 0 "version=2" $CTL config --log $LOG_ADDR history
expect 0 '"version":2' $CTL config --log $LOG_ADDR --json show
expect 2 "give --log ADDRESS FILE" $CTL publish
expect 2 "no such command" $CTL dance
expect 0 "Usage:" $CTL publish --help
expect 3 "does not answer" $CTL status --at 127.0.0.1:1
expect 3 "does not answer" $CTL publish --log 127.0.0.1:1 examples/reservas.toml
expect 0 "draining=no" $CTL status --at 127.0.0.1:$((PORT_A + 1))
expect 0 '"host":"a"' $CTL status --json --at 127.0.0.1:$((PORT_A + 1))
expect 2 "hexadecimal" $CTL explain --at 127.0.0.1:$((PORT_A + 1)) nonsense

wait_for_output "service=modelo-cupos version=2" $CTL timeline --at 127.0.0.1:$((PORT_B + 1))
say "version 2 is in force at the other host"

# Two operators publish at the same time: both may succeed in turn, or the
# later one is refused (exit code 1).
sed 's/weight = 1/weight = 3/' examples/modelo-cupos.toml >"$DIR/one.toml"
sed 's/weight = 1/weight = 4/' examples/modelo-cupos.toml >"$DIR/two.toml"
$CTL publish --log $LOG_ADDR "$DIR/one.toml" >"$DIR/one.out" 2>&1 &
one=$!
$CTL publish --log $LOG_ADDR "$DIR/two.toml" >"$DIR/two.out" 2>&1 &
two=$!
wait $one
code_one=$?
wait $two
code_two=$?
case "$code_one$code_two" in
00 | 01 | 10) say "ok race: $code_one $code_two" ;;
*) fail "race: $code_one $code_two: $(cat "$DIR/one.out" "$DIR/two.out")" ;;
esac

# The answer to the append is lost after the append took effect: publish reads
# the log and reports success.
fault $BASE lose_answer=1
sed 's/weight = 1/weight = 5/' examples/modelo-cupos.toml >"$DIR/lost.toml"
expect 0 "is published" $CTL publish --log $LOG_ADDR "$DIR/lost.toml"

# Logs, timeline, status and metrics contain no secret.
cat "$DIR"/*.log >"$DIR/all"
$CTL timeline --at 127.0.0.1:$((PORT_A + 1)) --at 127.0.0.1:$((PORT_B + 1)) >>"$DIR/all"
$CTL status --json --at 127.0.0.1:$((PORT_A + 1)) >>"$DIR/all"
curl -s "http://127.0.0.1:$((PORT_A + 1))/metrics" >>"$DIR/all"
grep -qE "demo-analitica|demo-despacho|only for this trial" "$DIR/all" && fail "a secret is in the logs, timeline, status or metrics"
say "no secret in logs, timeline, status and metrics"
