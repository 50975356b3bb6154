#!/bin/bash
# One entry host that uses the platform's store: checks what callers get and
# what reaches the upstreams, with upstreams that answer correctly and with
# upstreams that misbehave. The last part of a path selects the upstream's
# behaviour.
BUILD=${1:-build}
. tests/proc/relaylib.sh
PORT=$((BASE + 10))
fleetstandin store "$BASE"
wait_for_http "http://$STORE_ADDR/ok"
entry_with_store h "$PORT"
wait_for_http "http://127.0.0.1:$((PORT + 1))/healthz"
expect_ask "a call with no configuration" "503 *no_configuration*" /safe/ok
expect "the host is not ready without a configuration" "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((PORT + 1))/readyz")" 503
# Two invalid records, which the host must ignore.
put keyed.servers torn '{"service":"p","addr'
put keyed.servers odd '{"service":"p","address":7}'
replica p1 $((BASE + 20)) p
replica p2 $((BASE + 21)) p
config 5 "$ROUTES"
wait_for_http "http://127.0.0.1:$((PORT + 1))/readyz"
wait_for_output "record_ignored" cat "$DIR/h.log"
wait_for_output "name=p2" cat "$DIR/h.log"

expect_ask "an answer" "200 from p?" /safe/ok
expect "the upstream gets the team and not the key" "$(grep "attempt=a$REQUEST_NUMBER " "$ARRIVALS_FILE")" "*team=team-1*key=- *"
expect_ask "an unknown path" "404 *unknown_route*" /nowhere/ok
HOST_HEADER=other.example expect_ask "an unknown host" "404 *" /safe/ok
CREDENTIAL="Cuminquay-Credential: wrong" expect_ask "an unknown key" "401 *" /safe/ok
CREDENTIAL="X-None: 1" expect_ask "no key" "401 *" /safe/ok
CREDENTIAL="X-None: 1" expect_ask "an open route" "200 *" /open/ok
ask /safe/ok -H 'Cuminquay-Tenant: other'
expect "a team that the caller forged is replaced" "$(grep "attempt=a$REQUEST_NUMBER " "$ARRIVALS_FILE")" "*team=team-1*"

expect_ask "a safe call that fails" "500 from p?" /safe/fault
expect "a safe call that fails is tried twice" "$(arrived)" 2
expect_ask "an unsafe call that fails" "500 from p?" /unsafe/fault
expect "an unsafe call that fails runs once" "$(arrived)" 1
expect_ask "an unsafe call whose connection is cut" "502 *unknown*" /unsafe/cut
expect "an unsafe call whose connection is cut runs once" "$(arrived)" 1
expect_ask "an unsafe call that did not run" "503 *\"no\"*" /unsafe/refuse -D "$DIR/head"
expect "an unsafe call that did not run is tried twice" "$(arrived)" 2
expect "its answer has a Retry-After header" "$(grep -ci '^retry-after: [0-9.]*' "$DIR/head")" 1
expect_ask "an answer shorter than its length" "502 *" /unsafe/tear
expect "an unsafe call with a short answer runs once" "$(arrived)" 1
expect_ask "a safe call with an answer shorter than its length" "502 *" /safe/tear
expect "a safe call with a short answer is tried twice" "$(arrived)" 2
for i in 1 2 3; do
    expect_ask "an answer followed by a second one, $i" "200 from p?" /safe/extra
done
expect_ask "an answer with another attempt id" "502 *" /unsafe/other
expect_ask "a 200 without the seal header" "502 *" /unsafe/bare
expect_ask "an answer that ends with its connection" "200 from p?" /unsafe/nolength
expect_ask "an answer without length, reset at its end" "502 *" /unsafe/nolengthreset

expect_ids "a stream" "1 2 3 4 5 6 " '/stream/a/stream/whole?n=6'
expect_ids "a stream that broke off goes on" "1 2 3 4 5 6 " '/stream/a/stream/tear?n=6'
expect "a stream is resumed after its last whole event" "$(grep "attempt=a$REQUEST_NUMBER " "$ARRIVALS_FILE" | sed 's/.*last=\([^ ]*\).*/\1/' | tr '\n' ' ')" "- 3 "
expect_ids "a stream that stalled goes on" "1 2 3 4 5 6 " '/stream/a/stream/stop?n=6'
expect_ids "a stream that can't be resumed ends early" "1 2 3 " '/once/stream/tear?n=6'
# stream_status PATH: prints the HTTP status and the exit status of curl, which
# is 0 for a complete answer
stream_status() {
    curl -s -m 5 -o "$DIR/body" -w '%{http_code} ' -H "Host: fleet.example" -H "$CREDENTIAL" -H "Cuminquay-Attempt-Id: s$RANDOM" "http://127.0.0.1:$PORT$1"
    echo $?
}
expect "a stream that ends early is not a complete answer for curl" "$(stream_status '/once/stream/tear?n=6')" "200 [!0]*"
expect "a stream whose resumption fails with 500 is not complete" "$(stream_status '/stream/a/stream/thenfault?n=6')" "200 [!0]*"
expect "it has its first events only" "$(sed -n 's/^id: //p' "$DIR/body" | tr '\n' ' ')" "1 2 3 "
expect "a stream that is resumed by a plain answer is not complete" "$(stream_status '/stream/a/stream/thenplain?n=6')" "200 [!0]*"

# first_line_of REQUEST: sends the bytes (a printf format) and prints the first
# line of the answer
first_line_of() { printf "$1" | timeout 3 bash -c "exec 3<>/dev/tcp/127.0.0.1/$PORT; cat >&3; head -1 <&3" | tr -d '\r'; }
expect "two Content-Length headers" "$(first_line_of 'POST /safe/ok HTTP/1.1\r\nHost: fleet.example\r\nContent-Length: 1\r\nContent-Length: 9\r\n\r\na')" "HTTP/1.1 400 *"
expect "Content-Length and Transfer-Encoding" "$(first_line_of 'POST /safe/ok HTTP/1.1\r\nHost: fleet.example\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n')" "HTTP/1.1 400 *"
expect "two Host headers" "$(first_line_of 'GET /safe/ok HTTP/1.1\r\nHost: fleet.example\r\nHost: other\r\n\r\n')" "HTTP/1.1 400 *"
expect "a head that stops in the middle" "$(first_line_of 'GET /safe/ok HTTP/1.1\r\nHost:')" "HTTP/1.1 408 *"
long=$(head -c 9000 /dev/zero | tr '\0' x)
expect_ask "a head above the limit" "431 *" /safe/ok -H "X-Long: $long"
head -c 200000 /dev/zero >"$DIR/big"
expect_ask "a body above the limit" "413 *" /unsafe/ok --data-binary "@$DIR/big"
head -c 50000 /dev/zero >"$DIR/fair"
expect_ask "a body in chunks" "200 *" /unsafe/ok -H 'Transfer-Encoding: chunked' -H 'Expect:' --data-binary "@$DIR/fair"
expect "a body in chunks arrives whole" "$(grep "attempt=a$REQUEST_NUMBER " "$ARRIVALS_FILE")" "*body=50000"
expect_ask "a call that is never answered" "504 *" /unsafe/hang

before=$(curl -s "http://127.0.0.1:$((PORT + 1))/metrics" | sed -n 's/^cuminquay_requests_cancelled_total //p')
curl -s -m 0.3 -o /dev/null -H "Host: fleet.example" -H "$CREDENTIAL" "http://127.0.0.1:$PORT/stream/a/stream/whole?n=500&ms=20"
wait_for_output "cuminquay_requests_cancelled_total $((before + 1))" curl -s "http://127.0.0.1:$((PORT + 1))/metrics"
say "a caller that leaves has its request cancelled"

config 4 "$(route /old/ safe false false)"
sleep 0.3
expect_ask "an older version changes nothing" "200 *" /safe/ok
config 9 "$(route /new/ safe false false)"
wait_for_output "version=9" cat "$DIR/h.log"
expect_ask "a route that was removed" "404 *" /safe/ok
expect_ask "a route that was added" "200 *" /new/ok
put_upstream p1 $((BASE + 20)) p draining
wait_for_output "event=leaving.*upstream=p1" cat "$DIR/h.log"
for i in $(seq 10); do
    expect_ask "p1 is leaving, $i" "200 from p2" /new/ok
done
kill -STOP "$PID_h"
sleep 2
kill -CONT "$PID_h"
wait_for_output "event=standstill" cat "$DIR/h.log"
wait_for_http "http://127.0.0.1:$((PORT + 1))/readyz"
expect_ask "ready again after a standstill of 2 s" "200 *" /new/ok
curl -sf -X POST "http://$STORE_ADDR/refuse?on=1" >/dev/null
wait_for_output "event=log .*up=no" cat "$DIR/h.log"
expect_ask "a call without the store" "200 *" /new/ok
curl -sf -X POST "http://$STORE_ADDR/refuse?on=0" >/dev/null
wait_for_output "event=log .*up=yes" cat "$DIR/h.log"
put keyed.servers p3 "{\"service\":\"p\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"slots\":1,\"state\":\"ready\",\"born\":1}"
wait_for_output "name=p3" cat "$DIR/h.log"
drop keyed.servers p3
wait_for_output "event=unlisted.*upstream=p3" cat "$DIR/h.log"

metrics=$(curl -s "http://127.0.0.1:$((PORT + 1))/metrics")
done=$(sed -n 's/^cuminquay_requests_done_total //p' <<<"$metrics")
expect "as many answers timed as done" "$(sed -n 's/^cuminquay_done_seconds_count //p' <<<"$metrics")" "$done"

cp "$DIR/h.toml" "$DIR/good.toml"
echo "nonsense" >>"$DIR/h.toml"
kill -HUP "$PID_h"
wait_for_output "event=reload_refused" cat "$DIR/h.log"
expect_ask "a call after a reload of settings that can't be read" "200 *" /new/ok
cp "$DIR/good.toml" "$DIR/h.toml"
wait_for_output "event=reloaded" cat "$DIR/h.log"
say "the settings file is read again without a signal"

curl -s -m 8 -H "Host: fleet.example" -H "$CREDENTIAL" "http://127.0.0.1:$PORT/new/a/stream/whole?n=40&ms=20" >"$DIR/last" &
last=$!
sleep 0.2
kill -TERM "$PID_h"
sleep 0.1
expect "the host is not ready while it stops" "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((PORT + 1))/readyz")" 503
wait $last
expect "a stream that was open at SIGTERM is complete" "$(grep -c '^id: ' "$DIR/last")" 40
wait "$PID_h"
expect "the exit status" "$?" 0
expect "the host's record in the store is removed" "$(curl -s "http://$STORE_ADDR/v1/log-newest?topic=keyed.hosts")" '*"items":\[\]*'
