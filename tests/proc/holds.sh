#!/bin/bash
# Seat holds (calls with an idempotency key) must run at most once, and their
# answers must say correctly whether they ran, also after a closed connection,
# a refusal, the kill of an entry host, a log outage or a lost answer to an
# append. The plain service counts the runs of each key.
BUILD=${1:-build}
. tests/proc/fleet.sh
start_fleet

# contains TEXT ANSWER: fails unless ANSWER contains TEXT
contains() { case "$2" in *"$1"*) say "ok $1" ;; *) fail "wanted the text $1, got: $2" ;; esac; }

contains '"ok":true' "$(hold $PORT_A one)"
sleep 0.5
contains already_ran "$(hold $PORT_B one)"

# The upstream reads the call and closes the connection: the call is not sent
# again, and its answer says that it may have run.
fault $PORT_PLAIN1 close_next=1
fault $PORT_PLAIN2 close_next=1
contains '"ran":"unknown"' "$(hold $PORT_A two)"
contains in_progress "$(hold $PORT_B two)"
fault $PORT_PLAIN1 close_next=0
fault $PORT_PLAIN2 close_next=0

# The same for a GET that the service file doesn't list as idempotent. By
# itself, libsoup's client would send it again when a reused connection is
# closed.
before=$( (counters $PORT_PLAIN1; counters $PORT_PLAIN2) | tr ',' '\n' | awk -F: '/total/ { n += $2 } END { print n }')
fault $PORT_PLAIN1 close_next=1
fault $PORT_PLAIN2 close_next=1
contains '"ran":"unknown"' "$(curl -s -H "$AUTH_SEATS" "http://127.0.0.1:$PORT_A/s/reservas/other")"
after=$( (counters $PORT_PLAIN1; counters $PORT_PLAIN2) | tr ',' '\n' | awk -F: '/total/ { n += $2 } END { print n }')
[ $((after - before)) = 1 ] || fail "the call arrived $((after - before)) times, wanted 1"
say "ok the call arrived once"
fault $PORT_PLAIN1 close_next=0
fault $PORT_PLAIN2 close_next=0

# A seat check may be repeated: the other replica answers it.
fault $PORT_PLAIN1 close_next=1
contains '"ok":true' "$(curl -s -H "$AUTH_SEATS" "http://127.0.0.1:$PORT_A/s/reservas/seats/1")"
fault $PORT_PLAIN1 close_next=0

# A replica refuses the hold without running it: another replica runs it, once.
fault $PORT_PLAIN1 refuse_next=1
contains '"ok":true' "$(hold $PORT_A three)"
fault $PORT_PLAIN1 refuse_next=0

# The entry host is killed while the call runs: a repeat through the other host
# is not run.
fault $PORT_PLAIN1 slow_ms=2000
fault $PORT_PLAIN2 slow_ms=2000
hold $PORT_A four >/dev/null &
wait_for_output '"four":1' eval "counters $PORT_PLAIN1; counters $PORT_PLAIN2"
kill -KILL $PID_a
contains in_progress "$(hold $PORT_B four)"
sleep 2.5
contains in_progress "$(hold $PORT_B four)"
fault $PORT_PLAIN1 slow_ms=0
fault $PORT_PLAIN2 slow_ms=0

# Without the log a hold with a key is not run, and the caller gets the error
# at once. A seat check needs no claim in the log and is answered.
fault $BASE down=1
wait_for_output '^[1-9]' count $PORT_B log_outages_total
contains '"ran":"no"' "$(hold $PORT_B five)"
contains log_unreachable "$(hold $PORT_B five)"
contains '"ok":true' "$(curl -s -H "$AUTH_SEATS" "http://127.0.0.1:$PORT_B/s/reservas/seats/1")"
fault $BASE down=0
wait_for_output '"ok":true' hold $PORT_B five

# The answer to the append of the claim is lost after the append took effect.
fault $BASE lose_answer=1
contains '"ok":true' "$(hold $PORT_B six)"

for port in $PORT_PLAIN1 $PORT_PLAIN2; do
    case "$(counters $port)" in *'"most":0'* | *'"most":1'*) ;; *) fail "a key ran twice: $(counters $port)" ;; esac
done
for key in one two three four five six; do
    runs=$( (counters $PORT_PLAIN1; counters $PORT_PLAIN2) | grep -o "\"$key\":[0-9]*" | awk -F: '{ n += $2 } END { print n + 0 }')
    [ "$runs" = 1 ] || fail "key $key ran $runs times"
done
say "every key ran once"
