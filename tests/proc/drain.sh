#!/bin/bash
# SIGTERM under load, then a rolling restart of both entry hosts: no request
# is cut, none is lost, and every process exits 0.
BUILD=${1:-build}
. tests/proc/fleet.sh
NOTICE_MS=1000 STEP_MS=20 start_fleet

# A caller behind a balancer that asks /readyz, as the platform's does.
caller() {
    local me=$1 end=$2 n=0 port answer
    while [ "$(date +%s)" -lt "$end" ]; do
        port=$A
        [ $(((n + me) % 2)) = 0 ] && port=$B
        curl -sf -m 1 -o /dev/null "http://127.0.0.1:$((port + 1))/readyz" ||
            port=$((A + B - port))
        answer=$(prompt $port "c$me-$n" 30)
        if whole "c$me-$n" 30 "$answer"; then
            echo whole >>"$DIR/caller.$me"
        else
            echo "not whole: $answer" >>"$DIR/caller.$me"
        fi
        n=$((n + 1))
    done
}

end=$(($(date +%s) + 14))
callers=""
for i in $(seq 12); do
    caller "$i" $end &
    callers="$callers $!"
done
sleep 2
for name in a b; do
    eval "pid=\$PID_$name"
    kill -TERM "$pid"
    port=$A
    [ $name = b ] && port=$B
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((port + 1))/readyz")" = 503 ] ||
        fail "$name is ready while it drains"
    wait "$pid"
    code=$?
    [ $code = 0 ] || fail "$name exited $code"
    say "$name exited 0"
    if [ $name = a ]; then entry a valle-a $A; else entry b valle-b $B; fi
    wait_for "http://127.0.0.1:$((port + 1))/readyz"
    sleep 2
done
wait $callers
cat "$DIR"/caller.* | sort | uniq -c
grep -h "not whole" "$DIR"/caller.* && fail "a request was cut"
[ "$(cat "$DIR"/caller.* | wc -l)" -ge 24 ] || fail "too few requests were served"
say "no request was cut"
