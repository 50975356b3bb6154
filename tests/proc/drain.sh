#!/bin/bash
# SIGTERM under load of one of four entry hosts after the other, as in a
# rolling restart: no request is cut, none is lost, every process exits 0.
BUILD=${1:-build}
. tests/proc/fleet.sh
NOTICE_MS=1000 STEP_MS=20 start_fleet
C=$((BASE + 50)) D=$((BASE + 60))
row c $((C + 2)) valle-b ""
row d $((D + 2)) valle-c ""
send_rows
entry c valle-b $C
entry d valle-c $D
PORTS=($A $B $C $D)
for port in "${PORTS[@]}"; do
    wait_for "http://127.0.0.1:$((port + 1))/readyz"
    wait_until "upstreams=4 peers_heard=3 services=2" \
        "$BUILD/cuminquayctl" status --at 127.0.0.1:$((port + 1))
done

# A caller behind a balancer that asks /readyz, as the platform's does.
caller() {
    local me=$1 end=$2 n=0 port answer i
    while [ "$(date +%s)" -lt "$end" ]; do
        for i in 0 1 2 3; do
            port=${PORTS[$(((n + me + i) % 4))]}
            curl -sf -m 1 -o /dev/null "http://127.0.0.1:$((port + 1))/readyz" && break
        done
        answer=$(prompt $port "c$me-$n" 30)
        if whole "c$me-$n" 30 "$answer"; then
            echo whole >>"$DIR/caller.$me"
        else
            echo "not whole: $answer" >>"$DIR/caller.$me"
        fi
        n=$((n + 1))
    done
}

end=$(($(date +%s) + 22))
callers=""
for i in $(seq 12); do
    caller "$i" $end &
    callers="$callers $!"
done
sleep 2
i=0
for name in a b c d; do
    port=${PORTS[$i]}
    i=$((i + 1))
    eval "pid=\$PID_$name"
    kill -TERM "$pid"
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((port + 1))/readyz")" = 503 ] ||
        fail "$name is ready while it drains"
    wait "$pid"
    code=$?
    [ $code = 0 ] || fail "$name exited $code"
    say "$name exited 0"
    zone=$(sed -n 's/^zone = "\(.*\)"/\1/p' "$DIR/$name.toml")
    entry $name "$zone" "$port"
    wait_for "http://127.0.0.1:$((port + 1))/readyz"
    sleep 1
done
wait $callers
cat "$DIR"/caller.* | sort | uniq -c
grep -h "not whole" "$DIR"/caller.* && fail "a request was cut"
[ "$(cat "$DIR"/caller.* | wc -l)" -ge 24 ] || fail "too few requests were served"
say "no request was cut"
