# Functions of the scripts in review/. The hosts are started as the deploy file
# says, with the settings of deploy/settings.toml filled in; the platform and
# the replicas are the project's own stand-ins (tests/standin).
#
# A script sets CASE, its folder. RECORD gets what was sent, answered and run.
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
[ -x target/packages/cuminquay ] && [ -x target/tests/fleetstandin ] || {
    echo "build the deploy file, then review/build.sh"
    exit 2
}
BUILD=target
TROUBLE=${TROUBLE:-1}

# Looks for a block of ports that nobody listens at.
free_ports() {
    local try offset
    for try in $(seq 50); do
        BASE=$((20000 + RANDOM % 12000))
        for offset in $(seq 0 90); do
            if (exec 3<>"/dev/tcp/127.0.0.1/$((BASE + offset))") 2>/dev/null; then continue 2; fi
        done
        return 0
    done
    exit 2
}
free_ports
. tests/proc/relaylib.sh

RECORD=$CASE/record.txt
: >"$RECORD"

# note TEXT: writes a line to the record and the output
note() { printf '%s %s\n' "$(date +%s.%3N)" "$*" | tee -a "$RECORD"; }

# A helper of the project's library calls this where a step fails.
fail() {
    note "COULD NOT RUN: $*"
    exit 2
}

now_ms() { date +%s%3N; }

# sleep_until MS: sleeps until that time of day
sleep_until() {
    local left=$(($1 - $(now_ms)))
    [ $left -le 0 ] || sleep "$((left / 1000)).$(printf '%03d' $((left % 1000)))"
}

# start_host NAME: starts the host as the deploy file does
start_host() {
    target/packages/cuminquay --settings "$DIR/$1.toml" >>"$DIR/$1.log" 2>&1 &
    PIDS="$PIDS $!"
    eval "PID_$1=$!"
    disown $!
}

# edge NAME ZONE PORT [STORE]: an entry host with the settings that the
# platform fills in; callers are at PORT, operators at PORT+1, peers at PORT+2
edge() {
    cat >"$DIR/$1.toml" <<EOF
[host]
name = "$1"
zone = "$2"
[listen]
callers = "127.0.0.1:$3"
operators = "127.0.0.1:$(($3 + 1))"
peers = "127.0.0.1:$(($3 + 2))"
[peers]
seeds = [${SEEDS:-}]
key = "links-of-${4:-$STORE_ADDR}"
[platform]
store = "${4:-$STORE_ADDR}"
[retries]
burst = "${RETRY_SLACK:-102}"
share = "0.2"
[drain]
notice_ms = 2800
limit_ms = 7500
EOF
    start_host "$1"
}

# Processes are stopped by their ids.
stop_all() {
    local pid
    for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    sleep 1.3 # until the last sleep of a loop that was ended is over
    rm -rf "$DIR"
}
trap stop_all EXIT
