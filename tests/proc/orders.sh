#!/bin/bash
# A service file asks for a model on one of two engines: one process takes the
# lease, one engine loads it, and a call for it is answered. When the holder
# stops, the other process has the lease.
BUILD=${1:-build}
. tests/proc/fleet.sh
start_fleet

{
    cat examples/modelo-cupos.toml
    printf '\n[[model]]\nname = "cupos-2"\nreplicas = 1\n'
} >"$DIR/loads.toml"
"$BUILD/cuminquayctl" publish --log "$LOG" "$DIR/loads.toml" || fail publish
wait_until '"loads":1' eval "counters $E1; counters $E2"
answer=$(curl -s -m 30 -H "$MODEL" "http://127.0.0.1:$B/v1/completions" \
    -d '{"model":"cupos-2","prompt":"#loaded x","max_tokens":3}')
whole loaded 3 "$answer" || fail "not whole: $answer"
say "a loaded model is served"

lease() {
    "$BUILD/cuminquayctl" timeline --at 127.0.0.1:$((B + 1)) | grep " lease "
}
case "$(lease)" in *"mine=yes"*) holder=b other=$A ;; *) holder=a other=$B ;; esac
eval "pid=\$PID_$holder"
kill -TERM "$pid"
wait "$pid" || fail "the holder exited $?"
wait_until "mine=yes" "$BUILD/cuminquayctl" timeline --at 127.0.0.1:$((other + 1))
say "the other process has the lease"
total=$( (counters $E1; counters $E2) | grep -o '"loads":[0-9]*' | awk -F: '{ n += $2 } END { print n }')
[ "$total" = 1 ] || fail "$total loads for one replica"
say "one load in all"
