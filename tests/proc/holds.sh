#!/bin/bash
# Seat holds with real processes: a closed connection, a killed host, a log
# outage, a refusal. The plain service counts runs by key.
BUILD=${1:-build}
. tests/proc/fleet.sh
start_fleet

# contains TEXT ANSWER
contains() { case "$2" in *"$1"*) say "ok $1" ;; *) fail "wanted $1: $2" ;; esac; }

contains '"ok":true' "$(hold $A one)"
sleep 0.5
contains already_ran "$(hold $B one)"

# The upstream reads the call and closes: one arrival, and the truth.
fault $P1 close_next=1
fault $P2 close_next=1
contains '"ran":"unknown"' "$(hold $A two)"
contains in_progress "$(hold $B two)"
fault $P1 close_next=0
fault $P2 close_next=0

# The same for a GET that the rules do not let repeat: libsoup itself would
# send it a second time on a reused connection.
before=$( (counters $P1; counters $P2) | tr ',' '\n' | awk -F: '/total/ { n += $2 } END { print n }')
fault $P1 close_next=1
fault $P2 close_next=1
contains '"ran":"unknown"' "$(curl -s -H "$SEATS" "http://127.0.0.1:$A/s/reservas/other")"
after=$( (counters $P1; counters $P2) | tr ',' '\n' | awk -F: '/total/ { n += $2 } END { print n }')
[ $((after - before)) = 1 ] || fail "one call arrived $((after - before)) times"
say "ok one arrival"
fault $P1 close_next=0
fault $P2 close_next=0

# A check may run again: the other replica answers.
fault $P1 close_next=1
contains '"ok":true' "$(curl -s -H "$SEATS" "http://127.0.0.1:$A/s/reservas/seats/1")"
fault $P1 close_next=0

# Refused before it ran: another replica runs it, once.
fault $P1 refuse_next=1
contains '"ok":true' "$(hold $A three)"
fault $P1 refuse_next=0

# The host is killed while the call runs; a repeat elsewhere is not run.
fault $P1 slow_ms=2000
fault $P2 slow_ms=2000
hold $A four >/dev/null &
wait_until '"four":1' eval "counters $P1; counters $P2"
kill -KILL $PID_a
contains in_progress "$(hold $B four)"
sleep 2.5
contains in_progress "$(hold $B four)"
fault $P1 slow_ms=0
fault $P2 slow_ms=0

# Without the log a keyed hold is not run; it is told at once.
fault $BASE down=1
wait_until '^[1-9]' count $B log_outages_total
contains '"ran":"no"' "$(hold $B five)"
contains log_unreachable "$(hold $B five)"
contains '"ok":true' "$(curl -s -H "$SEATS" "http://127.0.0.1:$B/s/reservas/seats/1")"
fault $BASE down=0
wait_until '"ok":true' hold $B five

# The answer to the claim's append is lost after it took effect.
fault $BASE lose_answer=1
contains '"ok":true' "$(hold $B six)"

for port in $P1 $P2; do
    case "$(counters $port)" in *'"most":0'* | *'"most":1'*) ;; *) fail "a key ran twice: $(counters $port)" ;; esac
done
for key in one two three four five six; do
    runs=$( (counters $P1; counters $P2) | grep -o "\"$key\":[0-9]*" | awk -F: '{ n += $2 } END { print n + 0 }')
    [ "$runs" = 1 ] || fail "key $key ran $runs times"
done
say "every key ran once"
