# Starts processes of a fleet on loopback and stops them by id.
#
# Every process that a script starts is in PIDS; ports count up from BASE.
BUILD=${BUILD:-build}
# Below the ports that the kernel gives to outgoing connections.
BASE=${BASE:-$((20000 + RANDOM % 12000))}
DIR=$(mktemp -d)
PIDS=""
LOG=127.0.0.1:$BASE
HOSTS=127.0.0.1:$((BASE + 1))
ROWS=""

say() { printf '%s\n' "$*"; }

fail() {
    say "FAILED: $*"
    exit 1
}

# standin MODE PORT [OPTION...]
standin() {
    local mode=$1 port=$2
    shift 2
    "$BUILD/tests/standin" "$mode" --listen "127.0.0.1:$port" "$@" \
        2>>"$DIR/standin.log" &
    PIDS="$PIDS $!"
    eval "PID_$port=$!"
}

# row NAME PORT ZONE SERVICE [LEAVING]: a row of the host list
row() {
    [ -z "$ROWS" ] || ROWS="$ROWS,"
    ROWS="$ROWS{\"name\":\"$1\",\"addr\":\"127.0.0.1:$2\",\"zone\":\"$3\""
    ROWS="$ROWS,\"service\":\"$4\",\"incarnation\":1,\"leaving\":${5:-false}}"
}

send_rows() {
    curl -sf -X POST -d "{\"hosts\":[$ROWS]}" "http://$HOSTS/hosts" >/dev/null
}

platform() {
    standin log "$BASE" "$@"
    standin hosts $((BASE + 1))
    wait_for "http://$LOG/bounds"
    wait_for "http://$HOSTS/hosts"
}

# serve NAME: starts an entry host with the settings of that name
serve() {
    "$BUILD/cuminquay" --settings "$DIR/$1.toml" >>"$DIR/$1.log" 2>&1 &
    PIDS="$PIDS $!"
    eval "PID_$1=$!"
}

# settings NAME ZONE PORT: what every entry host has; callers are at PORT,
# operators at PORT+1, peers at PORT+2. SEEDS are addresses of peers.
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

# entry NAME ZONE PORT: an entry host with the log and the host list
entry() {
    settings "$@"
    cat >>"$DIR/$1.toml" <<EOF
[platform]
log = "$LOG"
hosts = "$HOSTS"
[drain]
notice_ms = ${NOTICE_MS:-200}
limit_ms = ${LIMIT_MS:-20000}
EOF
    serve "$1"
}

# wait_for URL: until it answers 200, at most 10 s
wait_for() {
    local i
    for i in $(seq 200); do
        curl -sf -m 2 -o /dev/null "$1" && return 0
        sleep 0.05
    done
    fail "no answer from $1"
}

# wait_until TEXT COMMAND...: until the command prints TEXT, at most 10 s
wait_until() {
    local text=$1 i
    shift
    for i in $(seq 100); do
        "$@" 2>/dev/null | grep -q -- "$text" && return 0
        sleep 0.1
    done
    fail "never printed $text: $*"
}

stop_all() {
    local pid
    for pid in $PIDS; do
        kill -TERM "$pid" 2>/dev/null
    done
    wait $PIDS 2>/dev/null
    rm -rf "$DIR"
}
trap stop_all EXIT
