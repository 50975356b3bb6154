#!/bin/bash
# A service file asks for one replica of a model on two engines: one entry host
# takes the lease, one engine loads the model, and a call for the model is
# answered. When the holder of the lease stops, the other entry host takes the
# lease and orders no second load.
BUILD=${1:-build}
. tests/proc/fleet.sh
start_fleet

{
    cat examples/modelo-cupos.toml
    printf '\n[[model]]\nname = "cupos-2"\nreplicas = 1\n'
} >"$DIR/loads.toml"
"$BUILD/cuminquayctl" publish --log "$LOG_ADDR" "$DIR/loads.toml" || fail publish
wait_for_output '"loads":1' eval "counters $PORT_ENGINE1; counters $PORT_ENGINE2"
answer=$(curl -s -m 30 -H "$AUTH_MODEL" "http://127.0.0.1:$PORT_B/v1/completions" \
    -d '{"model":"cupos-2","prompt":"#loaded x","max_tokens":3}')
is_whole_answer loaded 3 "$answer" || fail "the answer is incomplete: $answer"
say "a call for the loaded model is answered"

# lease: prints the lease events of entry host b
lease() {
    "$BUILD/cuminquayctl" timeline --at 127.0.0.1:$((PORT_B + 1)) | grep " lease "
}
case "$(lease)" in *"mine=yes"*) holder=b other=$PORT_A ;; *) holder=a other=$PORT_B ;; esac
eval "pid=\$PID_$holder"
kill -TERM "$pid"
wait "$pid" || fail "the holder of the lease exited with status $?"
wait_for_output "mine=yes" "$BUILD/cuminquayctl" timeline --at 127.0.0.1:$((other + 1))
say "the other entry host has the lease"
total=$( (counters $PORT_ENGINE1; counters $PORT_ENGINE2) | grep -o '"loads":[0-9]*' | awk -F: '{ n += $2 } END { print n }')
[ "$total" = 1 ] || fail "$total loads for one replica, wanted 1"
say "one load of the model in all"
