# Starts entry hosts of a fleet behind the platform's store, on loopback.
. tests/lib.sh
STORE=127.0.0.1:$BASE
ARRIVALS=$DIR/arrivals.log
KEY="Cuminquay-Credential: secret-1"
SERIAL=0
: >"$ARRIVALS"

# fleetstandin MODE PORT [OPTION...]
fleetstandin() {
    local mode=$1 port=$2
    shift 2
    "$BUILD/tests/fleetstandin" "$mode" --listen "127.0.0.1:$port" "$@" \
        2>>"$DIR/standin.log" &
    PIDS="$PIDS $!"
    eval "PID_$port=$!"
}

# put TOPIC KEY TEXT: a record of the store
put() { curl -sf -X POST --data-binary "$3" "http://$STORE/put?topic=$1&key=$2" >/dev/null; }

drop() { curl -sf -X POST "http://$STORE/drop?topic=$1&key=$2" >/dev/null; }

# replica NAME PORT SERVICE: an upstream and its entry
replica() {
    fleetstandin replica "$2" --name "$1" --log "$ARRIVALS"
    announce "$1" "$2" "$3" ready
}

# announce NAME PORT SERVICE STATE
announce() {
    put keyed.servers "$1" "{\"service\":\"$3\",\"address\":\"127.0.0.1:$2\",\"zone\":\"a\",\"slots\":16,\"state\":\"$4\",\"born\":1}"
}

# route PREFIX TYPE RESUMABLE PUBLIC
route() {
    printf '{"name":"%s","host":"fleet.example","path_prefix":"%s","type":"%s","timeout_ms":%s,"goal_ms":1000,"gap_aim_ms":500,"attempts":2,"priority":1,"resumable":%s,"public":%s,"service":"p"}' \
        "$1" "$1" "$2" "${TIMEOUT_MS:-4000}" "$3" "$4"
}

# config VERSION ROUTES
config() {
    put keyed.op config "{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"p\"}],\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,\"header_timeout_ms\":1000,\"idle_timeout_ms\":3000},\"tenants\":[{\"name\":\"team-1\",\"api_keys\":[\"secret-1\"]}]}"
}

# two_replicas: the store with two upstreams and a configuration
two_replicas() {
    fleetstandin store "$BASE"
    wait_for "http://$STORE/ok"
    replica p1 $((BASE + 20)) p
    replica p2 $((BASE + 21)) p
    config 5 "$ROUTES"
}

ROUTES="$(route /safe/ safe false false),$(route /unsafe/ unsafe false false),$(route /stream/ streaming true false),$(route /once/stream/ streaming false false),$(route /open/ safe false true)"

# relay NAME PORT: an entry host with the store
relay() {
    settings "$1" a "$2"
    cat >>"$DIR/$1.toml" <<EOF
[platform]
store = "$STORE"
[drain]
notice_ms = ${NOTICE_MS:-300}
limit_ms = ${LIMIT_MS:-5000}
EOF
    serve "$1"
}

# ask PATH [CURL OPTION...]: OUT gets status, a blank and the body
ask() {
    local path=$1
    shift
    SERIAL=$((SERIAL + 1))
    : >"$DIR/body"
    OUT=$(curl -s -m 8 -o "$DIR/body" -w '%{http_code}' \
        -H "Host: ${NAMED:-fleet.example}" -H "$KEY" \
        -H "Cuminquay-Attempt-Id: a$SERIAL" -H "Cuminquay-Deadline-Ms: 3000" \
        "$@" "http://127.0.0.1:$PORT$path")
    OUT="$OUT $(tr -d '\0' <"$DIR/body")"
}

# expect_ask WHAT WANTED PATH [CURL OPTION...]
expect_ask() {
    local what=$1 wanted=$2
    shift 2
    ask "$@"
    expect "$what" "$OUT" "$wanted"
}

# expect_ids WHAT WANTED PATH: the ids of a stream's events
expect_ids() {
    ask "$3"
    expect "$1" "$(printf '%s' "$OUT" | sed -n 's/^.*id: //p' | tr '\n' ' ')" "$2"
}

# arrived: arrivals of the last request
arrived() { grep -c "attempt=a$SERIAL " "$ARRIVALS"; }

# expect WHAT GOT WANTED: compares with a pattern
expect() {
    case "$2" in
    $3) say "$1: as expected" ;;
    *) fail "$1: got '$2', wanted '$3'" ;;
    esac
}
