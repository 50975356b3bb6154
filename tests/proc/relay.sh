#!/bin/bash
# One entry host of the platform, real processes: what callers get, and what
# reaches upstreams, with upstreams that answer properly and ones that do not.
BUILD=${1:-build}
. tests/proc/relaylib.sh
PORT=$((BASE + 10))
fleetstandin store "$BASE"
wait_for "http://$STORE/ok"
relay h "$PORT"
wait_for "http://127.0.0.1:$((PORT + 1))/healthz"
expect_ask "no configuration" "503 *no_configuration*" /safe/ok
expect "not ready" "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((PORT + 1))/readyz")" 503
put keyed.servers torn '{"service":"p","addr'
put keyed.servers odd '{"service":"p","address":7}'
replica p1 $((BASE + 20)) p
replica p2 $((BASE + 21)) p
config 5 "$ROUTES"
wait_for "http://127.0.0.1:$((PORT + 1))/readyz"
wait_until "record_ignored" cat "$DIR/h.log"
wait_until "name=p2" cat "$DIR/h.log"

expect_ask "an answer" "200 from p?" /safe/ok
expect "the team, and not the key" "$(grep "attempt=a$SERIAL " "$ARRIVALS")" "*team=team-1*key=- *"
expect_ask "an unknown path" "404 *unknown_route*" /nowhere/ok
NAMED=other.example expect_ask "an unknown host" "404 *" /safe/ok
KEY="Cuminquay-Credential: wrong" expect_ask "an unknown key" "401 *" /safe/ok
KEY="X-None: 1" expect_ask "no key" "401 *" /safe/ok
KEY="X-None: 1" expect_ask "an open route" "200 *" /open/ok
ask /safe/ok -H 'Cuminquay-Tenant: other'
expect "a forged team" "$(grep "attempt=a$SERIAL " "$ARRIVALS")" "*team=team-1*"

expect_ask "a safe call that fails" "500 from p?" /safe/fault
expect "is tried twice" "$(arrived)" 2
expect_ask "an unsafe call that fails" "500 from p?" /unsafe/fault
expect "runs once" "$(arrived)" 1
expect_ask "an unsafe call that is cut" "502 *unknown*" /unsafe/cut
expect "runs once" "$(arrived)" 1
expect_ask "an unsafe call that did not run" "503 *\"no\"*" /unsafe/refuse -D "$DIR/head"
expect "is tried twice" "$(arrived)" 2
expect "and told when to come back" "$(grep -ci '^retry-after: [0-9.]*' "$DIR/head")" 1
expect_ask "a torn answer" "502 *" /unsafe/tear
expect "runs once" "$(arrived)" 1
expect_ask "a torn answer to a safe call" "502 *" /safe/tear
expect "is tried twice" "$(arrived)" 2
for i in 1 2 3; do
    expect_ask "an answer with another behind it, $i" "200 from p?" /safe/extra
done
expect_ask "an answer to another request" "502 *" /unsafe/other
expect_ask "a success without a seal" "502 *" /unsafe/bare
expect_ask "an answer without length" "200 from p?" /unsafe/nolength
expect_ask "one that is reset" "502 *" /unsafe/nolengthreset

expect_ids "a stream" "1 2 3 4 5 6 " '/stream/a/stream/whole?n=6'
expect_ids "a torn stream goes on" "1 2 3 4 5 6 " '/stream/a/stream/tear?n=6'
expect "from its last whole event" "$(grep "attempt=a$SERIAL " "$ARRIVALS" | sed 's/.*last=\([^ ]*\).*/\1/' | tr '\n' ' ')" "- 3 "
expect_ids "a stopped stream goes on" "1 2 3 4 5 6 " '/stream/a/stream/stop?n=6'
expect_ids "one that can't be resumed" "1 2 3 " '/once/stream/tear?n=6'
curl -s -m 5 -o /dev/null -H "Host: fleet.example" -H "$KEY" "http://127.0.0.1:$PORT/once/stream/tear?n=6"
expect "does not look complete" "$?" "[!0]*"

# raw BYTES: the first line of the answer to them
raw() { printf "$1" | timeout 3 bash -c "exec 3<>/dev/tcp/127.0.0.1/$PORT; cat >&3; head -1 <&3" | tr -d '\r'; }
expect "two lengths" "$(raw 'POST /safe/ok HTTP/1.1\r\nHost: fleet.example\r\nContent-Length: 1\r\nContent-Length: 9\r\n\r\na')" "HTTP/1.1 400 *"
expect "length and chunks" "$(raw 'POST /safe/ok HTTP/1.1\r\nHost: fleet.example\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n')" "HTTP/1.1 400 *"
expect "two hosts" "$(raw 'GET /safe/ok HTTP/1.1\r\nHost: fleet.example\r\nHost: other\r\n\r\n')" "HTTP/1.1 400 *"
expect "half a head" "$(raw 'GET /safe/ok HTTP/1.1\r\nHost:')" "HTTP/1.1 408 *"
long=$(head -c 9000 /dev/zero | tr '\0' x)
expect_ask "a long head" "431 *" /safe/ok -H "X-Long: $long"
head -c 200000 /dev/zero >"$DIR/big"
expect_ask "a long body" "413 *" /unsafe/ok --data-binary "@$DIR/big"
head -c 50000 /dev/zero >"$DIR/fair"
expect_ask "a body in chunks" "200 *" /unsafe/ok -H 'Transfer-Encoding: chunked' -H 'Expect:' --data-binary "@$DIR/fair"
expect "arrives whole" "$(grep "attempt=a$SERIAL " "$ARRIVALS")" "*body=50000"
expect_ask "a call that is never answered" "504 *" /unsafe/hang

before=$(curl -s "http://127.0.0.1:$((PORT + 1))/metrics" | sed -n 's/^cuminquay_requests_cancelled_total //p')
curl -s -m 0.3 -o /dev/null -H "Host: fleet.example" -H "$KEY" "http://127.0.0.1:$PORT/stream/a/stream/whole?n=500&ms=20"
wait_until "cuminquay_requests_cancelled_total $((before + 1))" curl -s "http://127.0.0.1:$((PORT + 1))/metrics"
say "a caller that leaves: noticed"

config 4 "$(route /old/ safe false false)"
sleep 0.3
expect_ask "an older version changes nothing" "200 *" /safe/ok
config 9 "$(route /new/ safe false false)"
wait_until "version=9" cat "$DIR/h.log"
expect_ask "a route that was removed" "404 *" /safe/ok
expect_ask "a route that was added" "200 *" /new/ok
announce p1 $((BASE + 20)) p draining
wait_until "event=leaving.*upstream=p1" cat "$DIR/h.log"
for i in $(seq 10); do
    expect_ask "p1 is leaving, $i" "200 from p2" /new/ok
done
kill -STOP "$PID_h"
sleep 2
kill -CONT "$PID_h"
wait_until "event=standstill" cat "$DIR/h.log"
wait_for "http://127.0.0.1:$((PORT + 1))/readyz"
expect_ask "ready again after a standstill" "200 *" /new/ok
curl -sf -X POST "http://$STORE/refuse?on=1" >/dev/null
wait_until "event=log .*up=no" cat "$DIR/h.log"
expect_ask "without the store" "200 *" /new/ok
curl -sf -X POST "http://$STORE/refuse?on=0" >/dev/null
wait_until "event=log .*up=yes" cat "$DIR/h.log"
put keyed.servers p3 "{\"service\":\"p\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"slots\":1,\"state\":\"ready\",\"born\":1}"
wait_until "name=p3" cat "$DIR/h.log"
drop keyed.servers p3
wait_until "event=unlisted.*upstream=p3" cat "$DIR/h.log"

metrics=$(curl -s "http://127.0.0.1:$((PORT + 1))/metrics")
done=$(sed -n 's/^cuminquay_requests_done_total //p' <<<"$metrics")
expect "answers timed" "$(sed -n 's/^cuminquay_done_seconds_count //p' <<<"$metrics")" "$done"

cp "$DIR/h.toml" "$DIR/good.toml"
echo "nonsense" >>"$DIR/h.toml"
kill -HUP "$PID_h"
wait_until "event=reload_refused" cat "$DIR/h.log"
expect_ask "with settings that can't be read" "200 *" /new/ok
cp "$DIR/good.toml" "$DIR/h.toml"
wait_until "event=reloaded" cat "$DIR/h.log"
say "a file that changed without a signal: read"

curl -s -m 8 -H "Host: fleet.example" -H "$KEY" "http://127.0.0.1:$PORT/new/a/stream/whole?n=40&ms=20" >"$DIR/last" &
last=$!
sleep 0.2
kill -TERM "$PID_h"
sleep 0.1
expect "not ready while it stops" "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((PORT + 1))/readyz")" 503
wait $last
expect "what ran when it was stopped" "$(grep -c '^id: ' "$DIR/last")" 40
wait "$PID_h"
expect "exit" "$?" 0
expect "its entry is gone" "$(curl -s "http://$STORE/v1/log-newest?topic=keyed.hosts")" '*"items":\[\]*'
