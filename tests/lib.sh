# Functions for tests that start real processes on loopback. On exit, all
# processes listed in PIDS are stopped and the scratch directory DIR is
# removed.
#
# Environment: BUILD is the build directory, BASE the first port to use; by
# default a range of ports that no other script on this machine has.
BUILD=${BUILD:-build}
# The ranges are below the kernel's range of ephemeral ports (32768 on Linux),
# so that outgoing connections don't take these ports.
PORTS_FROM=20000
PORTS_A_RANGE=500
PORT_RANGES=24

# nobody_listens FROM: does nobody listen at a port of the range?
nobody_listens() {
    local local_address state
    while read -r _ local_address _ state _; do
        [ "$state" = 0A ] || continue
        local_address=$((16#${local_address##*:}))
        [ $local_address -lt "$1" ] || [ $local_address -ge $(($1 + PORTS_A_RANGE)) ] || return 1
    done < <(tail -qn +2 /proc/net/tcp /proc/net/tcp6 2>/dev/null)
}

# draw_ports: sets BASE to the first port of a range that no other script has,
# and locks the range until this script and the processes that it started have
# ended
draw_ports() {
    local i range first lock
    first=$((RANDOM % PORT_RANGES))
    for i in $(seq 0 $((PORT_RANGES - 1))); do
        range=$(((first + i) % PORT_RANGES))
        lock=/tmp/cuminquay-ports-$range
        # Another user's file can be locked too, but not written to.
        [ -e $lock ] || : >$lock
        exec {PORTS_LOCK}<$lock
        BASE=$((PORTS_FROM + range * PORTS_A_RANGE))
        flock -n "$PORTS_LOCK" && nobody_listens $BASE && return 0
        exec {PORTS_LOCK}<&-
    done
    say "FAILED: other scripts have all $PORT_RANGES ranges of ports; end some of them"
    exit 1
}

say() { printf '%s\n' "$*"; }

[ -n "${BASE:-}" ] || draw_ports
DIR=$(mktemp -d)
PIDS=""
LOG_ADDR=127.0.0.1:$BASE
HOSTS_ADDR=127.0.0.1:$((BASE + 1))
HOST_ROWS=""

fail() {
    say "FAILED: $*"
    exit 1
}

# standin MODE PORT [OPTION...]: starts the test program standin; its process
# id is in PID_<PORT>
standin() {
    local mode=$1 port=$2
    shift 2
    "$BUILD/tests/standin" "$mode" --listen "127.0.0.1:$port" "$@" \
        2>>"$DIR/standin.log" &
    PIDS="$PIDS $!"
    eval "PID_$port=$!"
}

# add_host_row NAME PORT ZONE SERVICE [LEAVING]: adds a process to the host
# list. For an entry host, SERVICE is "" and PORT is its port for peers.
add_host_row() {
    [ -z "$HOST_ROWS" ] || HOST_ROWS="$HOST_ROWS,"
    HOST_ROWS="$HOST_ROWS{\"name\":\"$1\",\"addr\":\"127.0.0.1:$2\",\"zone\":\"$3\""
    HOST_ROWS="$HOST_ROWS,\"service\":\"$4\",\"incarnation\":1,\"leaving\":${5:-false}}"
}

# post_host_list: sends the rows added so far to the host list
post_host_list() {
    curl -sf -X POST -d "{\"hosts\":[$HOST_ROWS]}" "http://$HOSTS_ADDR/hosts" >/dev/null
}

# platform [OPTION...]: starts the log, with these options, and the host list
platform() {
    standin log "$BASE" "$@"
    standin hosts $((BASE + 1))
    wait_for_http "http://$LOG_ADDR/bounds"
    wait_for_http "http://$HOSTS_ADDR/hosts"
}

# start_host NAME: starts an entry host, HOST_PROGRAM, with the settings in
# NAME.toml; its process id is in PID_<NAME>
start_host() {
    "${HOST_PROGRAM:-$BUILD/cuminquay}" --settings "$DIR/$1.toml" >>"$DIR/$1.log" 2>&1 &
    PIDS="$PIDS $!"
    eval "PID_$1=$!"
}

# settings NAME ZONE PORT: writes the settings that all entry hosts have in
# common to NAME.toml. The host listens for callers at PORT, for operators at
# PORT+1 and for peers at PORT+2. SEEDS holds addresses of peers, quoted and
# separated by commas.
settings() {
    cat >"$DIR/$1.toml" <<EOF
[host]
name = "$1"
zone = "$2"
seed = 7
[listen]
callers = "127.0.0.1:$3"
operators = "127.0.0.1:$(($3 + 1))"
peers = "127.0.0.1:$(($3 + 2))"
[peers]
seeds = [${SEEDS:-}]
key = "a key only for this trial"
EOF
}

# entry NAME ZONE PORT: starts an entry host that uses the log and the host
# list
entry() {
    settings "$@"
    cat >>"$DIR/$1.toml" <<EOF
[platform]
log = "$LOG_ADDR"
hosts = "$HOSTS_ADDR"
[drain]
notice_ms = ${NOTICE_MS:-200}
limit_ms = ${LIMIT_MS:-20000}
EOF
    start_host "$1"
}

# wait_for_http URL: waits until a GET succeeds; pauses 50 ms after each of at
# most 200 tries
wait_for_http() {
    local i
    for i in $(seq 200); do
        curl -sf -m 2 -o /dev/null "$1" && return 0
        sleep 0.05
    done
    fail "$1 did not answer with success within 200 tries"
}

# wait_for_output PATTERN COMMAND...: waits until the command prints a line
# that matches the grep pattern; pauses 100 ms after each of at most 100 tries
wait_for_output() {
    local pattern=$1 i
    shift
    for i in $(seq 100); do
        "$@" 2>/dev/null | grep -q -- "$pattern" && return 0
        sleep 0.1
    done
    fail "no line matched $pattern within 100 tries: $*"
}

# stop_all: stops the started processes with SIGTERM
stop_all() {
    local pid
    for pid in $PIDS; do
        kill -TERM "$pid" 2>/dev/null
    done
    wait $PIDS 2>/dev/null
    rm -rf "$DIR"
}
trap stop_all EXIT
