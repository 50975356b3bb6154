#!/bin/bash
# Rolling restart of four entry hosts under load: each gets SIGTERM, must exit
# 0 and is started again. No request may be lost or have its answer cut off.
BUILD=${1:-build}
. tests/proc/fleet.sh
NOTICE_MS=1000 STEP_MS=20 start_fleet
PORT_C=$((BASE + 50)) PORT_D=$((BASE + 60))
add_host_row c $((PORT_C + 2)) valle-b ""
add_host_row d $((PORT_D + 2)) valle-c ""
post_host_list
entry c valle-b $PORT_C
entry d valle-c $PORT_D
PORTS=($PORT_A $PORT_B $PORT_C $PORT_D)
for port in "${PORTS[@]}"; do
    wait_for_http "http://127.0.0.1:$((port + 1))/readyz"
    wait_for_output "upstreams=4 peers_heard=3 services=2" \
        "$BUILD/cuminquayctl" status --at 127.0.0.1:$((port + 1))
done

# caller NUMBER END: sends requests until the time END (seconds since the
# epoch), each to the next host that is ready: like the platform's load
# balancer, it checks /readyz before each request.
caller() {
    local number=$1 end=$2 n=0 port answer i
    while [ "$(date +%s)" -lt "$end" ]; do
        for i in 0 1 2 3; do
            port=${PORTS[$(((n + number + i) % 4))]}
            curl -sf -m 1 -o /dev/null "http://127.0.0.1:$((port + 1))/readyz" && break
        done
        answer=$(prompt $port "c$number-$n" 30)
        if is_whole_answer "c$number-$n" 30 "$answer"; then
            echo whole >>"$DIR/caller.$number"
        else
            echo "not whole: $answer" >>"$DIR/caller.$number"
        fi
        n=$((n + 1))
    done
}

end=$(($(date +%s) + 22))
callers=""
for number in $(seq 12); do
    caller "$number" $end &
    callers="$callers $!"
done
sleep 2
index=0
for name in a b c d; do
    port=${PORTS[$index]}
    index=$((index + 1))
    eval "pid=\$PID_$name"
    kill -TERM "$pid"
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((port + 1))/readyz")" = 503 ] ||
        fail "$name is ready while it drains: /readyz did not answer 503"
    wait "$pid"
    code=$?
    [ $code = 0 ] || fail "$name exited with status $code, wanted 0"
    say "$name exited with status 0"
    zone=$(sed -n 's/^zone = "\(.*\)"/\1/p' "$DIR/$name.toml")
    entry $name "$zone" "$port"
    wait_for_http "http://127.0.0.1:$((port + 1))/readyz"
    sleep 1
done
wait $callers
cat "$DIR"/caller.* | sort | uniq -c
grep -h "not whole" "$DIR"/caller.* && fail "a request was cut: a caller did not get its whole answer"
[ "$(cat "$DIR"/caller.* | wc -l)" -ge 24 ] || fail "fewer than 24 requests were sent"
say "no request was cut: every caller got its whole answer"
