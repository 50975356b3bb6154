#!/bin/bash
# Two hosts of an older version and two of this one, with a trouble beside their
# replacements: relayupgradetrouble.sh BUILD TROUBLE. Run by hand; TROUBLE is
#
#   kill   a host of each version is killed, and started as the other one
#   cut    a host of each version is cut from all upstreams, one after the other
#   same   the same, by resets one after the other, while all callers send the
#          same slow call
#   limit  an upstream names a rate limit
#   part   upstreams crash on a part of prompts
#   body   upstreams crash on a plain request
#
# Environment as for relayupgrade.sh. HOW is how a cut is made. What callers of a
# cut host get is judged if its version passes requests on to peers.
BUILD=${1:-build}
TROUBLE=${2:?name a trouble: kill, cut, same, limit, part or body}
. tests/proc/upgradelib.sh
RANDOM=${SEED:-1}
CHANGE_MS=${CHANGE_MS:-3500}
CUT_MS=12000
# The first version in which a host that is cut off passes requests on.
FIRST_THAT_HANDS=e5f2cb8
LIMIT_PER_S=1.7
ALLOWED_IN_4_S=15
CRASHES_BEFORE_BLOCK=3

# replica NAME PORT: as in upgradelib.sh, but one that crashes if that is the
# trouble
replica() {
    case $TROUBLE,$(service_of "$1") in
    part,p | body,p) keep_replica "$1" "$2" ;;
    *)
        fleetstandin replica "$2" --name "$1" --log "$ARRIVALS_FILE"
        put_upstream "$1" "$2" "$(service_of "$1")" ready
        ;;
    esac
}

# disturbed PORT FROM TO: LOST leaves these out
disturbed() { echo "trouble port=$1 from=$2 to=$3" >>"$STOPS_FILE"; }

# kill_and_start HOST PROGRAM: kills the host, and starts PROGRAM in its place
kill_and_start() {
    local pid=PID_h$1 from
    from=$(now_ms)
    kill -KILL "${!pid}"
    wait "${!pid}" 2>/dev/null
    sleep 0.5
    start_again "$1" "$2"
    disturbed "$(port_of "$1")" "$from" "$(now_ms)"
}

# cut_for_a_while HOST PROGRAM: cuts the host, which runs PROGRAM, from all
# upstreams, and says how requests ended that were sent there and to the others
# from SETTLE_MS on
cut_for_a_while() {
    local began ended i others judged=$HOST_NUMBERS
    others=$(for i in $HOST_NUMBERS; do [ "$i" = "$1" ] || echo "$i"; done)
    began=$(now_ms)
    cut "${HOW:-reset}" "$1"
    sleep $((CUT_MS / 1000))
    ended=$(now_ms)
    heal "$1"
    disturbed "$(port_of "$1")" "$began" $((ended + SETTLE_MS))
    sleep $((SETTLE_MS / 1000 + 6))
    if [ "$2" = "$NEW_PROGRAM" ] || git merge-base --is-ancestor $FIRST_THAT_HANDS "$OLD"; then
        expect_share "h$1 cut" calls $((began + SETTLE_MS)) $((ended - WAIT_MS)) "$1" "$others"
    else
        judged=$others
        say "h$1, of a version that passes nothing on, cut:"
        summary calls $((began + SETTLE_MS)) $((ended - WAIT_MS))
    fi
    # shellcheck disable=SC2086
    expect_served "h$1 cut, the others" calls "$began" $((ended - WAIT_MS)) $others
    # shellcheck disable=SC2086
    expect_served "after the cut of h$1" calls $((ended + SETTLE_MS)) $((ended + SETTLE_MS + 4000)) $judged
}

# expect_limited FROM: no 4 s from then on brought p1 more than its limit allows
expect_limited() {
    local most
    most=$(grep "^p1 " "$ARRIVALS_FILE" | sed 's/.*at_ms=\([0-9]*\).*/\1/' | sort -n |
        awk -v from="$1" -v first=0 -v n=0 '$1 >= from {
            at[n++] = $1
            while (at[first] <= $1 - 4000) first++
            if (n - first > most) most = n - first
        } END { print most + 0 }')
    say "the upstream with a limit got at most $most requests in 4 s"
    [ "$most" -le $ALLOWED_IN_4_S ] || note "the upstream got $most requests in 4 s, allowed $ALLOWED_IN_4_S"
    [ "$most" -ge 1 ] || note "the upstream with a limit got no request"
}

# expect_blocked: later than 3 s after the crash that blocks them, at most 3 of
# the callers poison reached upstreams, and 4 in 5 of the sound ones were served
expect_blocked() {
    local blocked late ok sent
    blocked=$(grep crashes "$ARRIVALS_FILE" | sed 's/.*at_ms=//' | sort -n | sed -n ${CRASHES_BEFORE_BLOCK}p)
    say "$(grep -c crashes "$ARRIVALS_FILE") crashes; $(wc -l <"$DIR/poison.calls") such requests sent, $(grep -c attempt=poison "$ARRIVALS_FILE") arrived"
    [ -n "$blocked" ] || { note "fewer than $CRASHES_BEFORE_BLOCK crashes"; return; }
    late=$(grep attempt=poison "$ARRIVALS_FILE" | sed 's/.*at_ms=\([0-9]*\).*/\1/' | awk -v t=$((blocked + 3000)) '$1 > t' | wc -l)
    # shellcheck disable=SC2086
    read -r ok sent < <(served sound $((blocked + 6000)) "$(now_ms)" $HOST_NUMBERS)
    say "$late arrived later than 3 s after they were blocked; $ok of $sent sound ones served from 6 s after it"
    [ "$late" -le 3 ] || note "$late arrived later than 3 s after they were blocked, wanted at most 3"
    [ "$sent" -ge 20 ] && [ $((5 * ok)) -ge $((4 * sent)) ] || note "$ok of $sent sound ones served, wanted 4 in 5"
}

# replace_all: the hosts become of the other version, one after the other
replace_all() {
    replace 1 "$NEW_PROGRAM"
    replace 3 "$OLD_PROGRAM"
    replace 2 "$NEW_PROGRAM"
    replace 4 "$OLD_PROGRAM"
}

build_old
HOST_PROGRAM=$OLD_PROGRAM
cut_fleet 4
HOST_PROGRAM=""
for i in 3 4; do replace $i "$NEW_PROGRAM"; done
case $TROUBLE in
cut) callers_of calls "$EACH_KIND,+/unsafe/slow?ms=700" 200 ;;
same)
    slow="+/unsafe/slow?ms=1500"
    HOW=${HOW:-reset&spread_ms=25}
    callers_of calls "$slow,$slow,$slow,$slow" 500 --body same
    ;;
part)
    callers_of poison "/stream/ok?n=6" 500 --field "Cuminquay-Prefix-Hash: 5c1e07a2:40,$POISON:20,e1:900"
    callers_of sound "/stream/ok?n=6" 250 --field "Cuminquay-Prefix-Hash: 5c1e07a2:40,aa01:30,f1:900"
    ;;
body)
    callers_of poison "+/safe/ok" 500 --body "$POISON_BODY"
    callers_of sound "+/safe/ok" 250
    ;;
*)
    usual_callers
    changes &
    CHANGES_PID=$!
    PIDS="$PIDS $CHANGES_PID"
    ;;
esac
sleep 1
began=$(now_ms)
case $TROUBLE in
kill)
    kill_and_start 1 "$NEW_PROGRAM"
    replace 2 "$NEW_PROGRAM"
    kill_and_start 3 "$OLD_PROGRAM"
    replace 4 "$OLD_PROGRAM"
    kill_and_start 1 "$OLD_PROGRAM"
    kill_and_start 4 "$NEW_PROGRAM"
    ;;
cut | same)
    cut_for_a_while 3 "$NEW_PROGRAM"
    cut_for_a_while 1 "$OLD_PROGRAM"
    replace 1 "$NEW_PROGRAM"
    replace 3 "$OLD_PROGRAM"
    sleep 2
    cut_for_a_while 4 "$NEW_PROGRAM"
    ;;
limit)
    curl -sf -X POST "http://127.0.0.1:$((BASE + 21))/limit?per_s=$LIMIT_PER_S" || note "no limit set"
    replace_all
    expect_limited $((began + 3000))
    ;;
part | body)
    sleep 6
    replace_all
    disturbed all "$began" "$(now_ms)"
    ;;
esac
sleep 2
[ -z "${CHANGES_PID:-}" ] || { kill -TERM "$CHANGES_PID"; wait "$CHANGES_PID" 2>/dev/null; }
end_callers
case $TROUBLE in part | body) expect_blocked ;; esac
end_drill
