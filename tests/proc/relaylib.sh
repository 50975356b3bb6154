# Functions for tests of entry hosts that use the platform's store.
. tests/lib.sh
STORE_ADDR=127.0.0.1:$BASE
# Upstreams write a line here for each request that they receive.
ARRIVALS_FILE=$DIR/arrivals.log
# The header that authenticates requests.
CREDENTIAL="Cuminquay-Credential: secret-1"
# The part of a prompt under which upstreams of keep_replica crash.
POISON=badbad01
# The body of the requests under which they crash.
POISON_BODY=poison
REQUEST_NUMBER=0
: >"$ARRIVALS_FILE"

# fleetstandin MODE PORT [OPTION...]: starts the test program fleetstandin; its
# process id is in PID_<PORT>
fleetstandin() {
    local mode=$1 port=$2
    shift 2
    "$BUILD/tests/fleetstandin" "$mode" --listen "127.0.0.1:$port" "$@" \
        2>>"$DIR/standin.log" &
    PIDS="$PIDS $!"
    eval "PID_$port=$!"
}

# put TOPIC KEY TEXT: writes a record to the store; the text may be longer than
# an argument of a process
put() { printf '%s' "$3" | curl -sf -X POST --data-binary @- "http://$STORE_ADDR/put?topic=$1&key=$2" >/dev/null; }

# drop TOPIC KEY: deletes a key in the store
drop() { curl -sf -X POST "http://$STORE_ADDR/drop?topic=$1&key=$2" >/dev/null; }

# replica NAME PORT SERVICE: starts an upstream and writes its record to the
# store
replica() {
    fleetstandin replica "$2" --name "$1" --log "$ARRIVALS_FILE"
    put_upstream "$1" "$2" "$3" ready
}

# put_upstream NAME PORT SERVICE STATE [BORN]: writes an upstream's record to the
# store
put_upstream() {
    put keyed.servers "$1" "{\"service\":\"$3\",\"address\":\"127.0.0.1:$2\",\"zone\":\"a\",\"slots\":16,\"state\":\"$4\",\"born\":${5:-1}}"
}

# put_many COUNT: writes records of that many upstreams, many-1 and on, which
# have the address of p1, to the store
put_many() {
    local i
    for i in $(seq "$1"); do
        printf 'url = "http://%s/put?topic=keyed.servers&key=many-%s"\n' "$STORE_ADDR" "$i"
        printf 'data = "{\\"service\\":\\"p\\",\\"address\\":\\"127.0.0.1:%s\\",\\"zone\\":\\"a\\",\\"slots\\":16,\\"state\\":\\"ready\\",\\"born\\":1}"\noutput = "/dev/null"\nnext\n' $((BASE + 20))
    done | head -n -1 >"$DIR/puts"
    curl -sf -K "$DIR/puts"
}

# keep_replica NAME PORT: starts an upstream that crashes on the part POISON and
# on the body POISON_BODY; it is back 1.5 s after each crash
keep_replica() {
    (
        born=1
        trap 'kill -TERM $child 2>/dev/null; exit 0' TERM
        while true; do
            "$BUILD/tests/fleetstandin" replica --listen "127.0.0.1:$2" --name "$1" \
                --log "$ARRIVALS_FILE" --crash-part $POISON --crash-body $POISON_BODY 2>>"$DIR/standin.log" &
            child=$!
            put_upstream "$1" "$2" p ready $born
            wait $child
            sleep 1.5
            born=$((born + 1))
        done
    ) &
    PIDS="$PIDS $!"
}

# crashing_replicas COUNT: starts the store and upstreams p1, p2, ... that crash,
# and writes a configuration
crashing_replicas() {
    local i
    fleetstandin store "$BASE"
    wait_for_http "http://$STORE_ADDR/ok"
    for i in $(seq "$1"); do keep_replica p$i $((BASE + 20 + i)); done
    config 5 "$ROUTES"
}

# route PREFIX TYPE RESUMABLE PUBLIC: prints a route of the configuration
route() {
    printf '{"name":"%s","host":"fleet.example","path_prefix":"%s","type":"%s","timeout_ms":%s,"goal_ms":1000,"gap_aim_ms":500,"attempts":2,"priority":1,"resumable":%s,"public":%s,"service":"p"}' \
        "$1" "$1" "$2" "${TIMEOUT_MS:-4000}" "$3" "$4"
}

# config_text VERSION ROUTES: prints a configuration
config_text() {
    printf '%s' "{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"p\"}],\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":${BODY_BYTES:-100000},\"header_timeout_ms\":1000,\"idle_timeout_ms\":${IDLE_MS:-3000}},\"tenants\":[{\"name\":\"team-1\",\"api_keys\":[\"secret-1\"]}]}"
}

# config VERSION ROUTES: writes a configuration to the store
config() { put keyed.op config "$(config_text "$@")"; }

# two_replicas: starts the store and two upstreams, and writes a configuration
two_replicas() {
    fleetstandin store "$BASE"
    wait_for_http "http://$STORE_ADDR/ok"
    replica p1 $((BASE + 20)) p
    replica p2 $((BASE + 21)) p
    config 5 "$ROUTES"
}

ROUTES="$(route /safe/ safe false false),$(route /unsafe/ unsafe false false),$(route /stream/ streaming true false),$(route /once/stream/ streaming false false),$(route /open/ safe false true)"

# entry_with_store NAME PORT [ZONE]: starts an entry host that uses the store at
# STORE_ADDR; callers are at PORT, operators at PORT+1, peers at PORT+2
entry_with_store() {
    settings "$1" "${3:-a}" "$2"
    cat >>"$DIR/$1.toml" <<EOF
[platform]
store = "$STORE_ADDR"
[drain]
notice_ms = ${NOTICE_MS:-300}
limit_ms = ${LIMIT_MS:-5000}
EOF
    start_host "$1"
}

# host_h [NAME...]: starts the entry host h at PORT, and waits until it is ready
# and knows these upstreams
host_h() {
    local name
    PORT=$((BASE + 10))
    entry_with_store h "$PORT"
    wait_for_http "http://127.0.0.1:$((PORT + 1))/readyz"
    for name in "$@"; do wait_for_output "name=$name" cat "$DIR/h.log"; done
}

# hosts_a_and_b NAME: starts the entry hosts a, at PORT_A, and b, at PORT_B, and
# waits until both are ready and know the upstream
hosts_a_and_b() {
    local name
    PORT_A=$((BASE + 10)) PORT_B=$((BASE + 15))
    SEEDS="\"127.0.0.1:$((PORT_A + 2))\", \"127.0.0.1:$((PORT_B + 2))\""
    entry_with_store a "$PORT_A"
    entry_with_store b "$PORT_B"
    for name in a b; do wait_for_output "name=$1" cat "$DIR/$name.log"; done
    wait_for_http "http://127.0.0.1:$((PORT_A + 1))/readyz"
    wait_for_http "http://127.0.0.1:$((PORT_B + 1))/readyz"
}

# silence 1|0 [reads=drop]: makes the store ignore calls, or answer them again;
# with reads=drop the reads that wait are never answered
silence() { curl -sf "http://$STORE_ADDR/silence?on=$1&${2:-}" >/dev/null; }

# reads TOPIC: prints how many reads of the topic the store has received
reads() { curl -sf "http://$STORE_ADDR/reads?topic=$1"; }

# ask PATH [CURL OPTION...]: sends a request to the host at PORT; ANSWER gets
# the status, a blank and the body. Each request has a new attempt id,
# a$REQUEST_NUMBER.
ask() {
    local path=$1
    shift
    REQUEST_NUMBER=$((REQUEST_NUMBER + 1))
    : >"$DIR/body"
    ANSWER=$(curl -s -m 8 -o "$DIR/body" -w '%{http_code}' \
        -H "Host: ${HOST_HEADER:-fleet.example}" -H "$CREDENTIAL" \
        -H "Cuminquay-Attempt-Id: a$REQUEST_NUMBER" -H "Cuminquay-Deadline-Ms: 3000" \
        "$@" "http://127.0.0.1:$PORT$path")
    ANSWER="$ANSWER $(tr -d '\0' <"$DIR/body")"
}

# expect_ask WHAT WANTED PATH [CURL OPTION...]: sends a request and compares
# status and body with the shell pattern WANTED
expect_ask() {
    local what=$1 wanted=$2
    shift 2
    ask "$@"
    expect "$what" "$ANSWER" "$wanted"
}

# expect_ids WHAT WANTED PATH: sends a request and compares the ids of the
# answer's events
expect_ids() {
    ask "$3"
    expect "$1" "$(printf '%s' "$ANSWER" | sed -n 's/^.*id: //p' | tr '\n' ' ')" "$2"
}

# arrived: prints how often the last request reached an upstream
arrived() { grep -c "attempt=a$REQUEST_NUMBER " "$ARRIVALS_FILE"; }

# arrivals NAME: prints how many requests the upstream has received
arrivals() { grep -c "^$1 " "$ARRIVALS_FILE"; }

# expect WHAT GOT WANTED: fails unless GOT matches the shell pattern WANTED
expect() {
    case "$2" in
    $3) say "$1: as expected" ;;
    *) fail "$1: got '$2', wanted '$3'" ;;
    esac
}
