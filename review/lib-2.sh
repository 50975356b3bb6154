# Functions of the scripts in review/6 and on. The entry hosts are started as
# the deploy file says, with deploy/settings.toml filled in for loopback; the
# store is the project's own stand-in, replicas and callers are those in
# review/standin-2.
#
# A script sets CASE, its folder. Its record.txt gets what was sent, answered
# and run. Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
for program in packages/cuminquay tests/fleetstandin review-2/replica review-2/caller; do
    [ -x target/$program ] || {
        echo "build the deploy file, then review/build-2.sh"
        exit 2
    }
done
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
DIR=$(mktemp -d)
PIDS=""
: >"$RECORD"

# note TEXT: writes a line to the record and the output
note() { printf '%s %s\n' "$(date +%s%3N)" "$*" | tee -a "$RECORD"; }

# give_up TEXT: ends the script, as the case can't run
give_up() {
    note "could not run: $*"
    exit 2
}

# Ends the processes that the script started, by their ids.
end_all() {
    local pid
    for pid in $PIDS; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$DIR"
}
trap end_all EXIT

# free_ports COUNT: sets BASE to the first of so many ports that nobody listens at
free_ports() {
    local try offset
    for try in $(seq 50); do
        BASE=$((20000 + RANDOM % 12000))
        for offset in $(seq 0 "$1"); do
            if (exec 3<>"/dev/tcp/127.0.0.1/$((BASE + offset))") 2>/dev/null; then continue 2; fi
        done
        return 0
    done
    give_up "no free ports"
}
free_ports 60
STORE=127.0.0.1:$BASE

# wait_for TEXT COMMAND...: tries a command for 10 s until it succeeds
wait_for() {
    local what=$1 i
    shift
    for i in $(seq 200); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.05
    done
    give_up "$what"
}

# put TOPIC KEY TEXT: writes a record to the store
put() {
    printf '%s' "$3" | curl -sf -X POST --data-binary @- "http://$STORE/put?topic=$1&key=$2" >/dev/null ||
        give_up "the store took no record"
}

# start_store: starts the stand-in of the platform's store
start_store() {
    target/tests/fleetstandin store --listen "$STORE" 2>>"$DIR/store.log" &
    PIDS="$PIDS $!"
    wait_for "the store does not answer" curl -sf "http://$STORE/ok"
}

# start_replica NAME OFFSET SERVICE ZONE SLOTS [OPTION...]: starts a replica at
# BASE+OFFSET and writes its entry
start_replica() {
    local name=$1 port=$((BASE + $2)) service=$3 zone=$4 slots=$5
    shift 5
    target/review-2/replica --port $port --name "$name" --record "$RECORD" "$@" 2>>"$DIR/replicas.log" &
    PIDS="$PIDS $!"
    put keyed.servers "$name" "{\"service\":\"$service\",\"address\":\"127.0.0.1:$port\",\"zone\":\"$zone\",\"version\":\"v1\",\"slots\":$slots,\"state\":\"ready\",\"cold_left_ms\":0,\"seq_num\":1,\"born\":$(date +%s%3N)}"
}

# route NAME TYPE TIMEOUT_MS GOAL_MS ATTEMPTS SERVICE [MORE]: prints a route
route() {
    printf '{"name":"%s","host":"fleet.example","path_prefix":"/%s/","type":"%s","timeout_ms":%s,"goal_ms":%s,"attempts":%s,"priority":1,"public":false,"service":"%s"%s}' \
        "$1" "$1" "$2" "$3" "$4" "$5" "$6" "${7:-}"
}

# The model service's engines, as the page of the small deployments has them.
ENGINE='{"slots":16,"kv_tokens":450000,"kv_bytes":327680,"link_mbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":8,"hop_ms":0.1}'

# put_config VERSION ROUTES: writes the configuration: the routes, the services
# lm, of models, and app, and the limits of the small deployments
put_config() {
    put keyed.op config "{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"lm\",\"health_path\":\"/healthz\",\"max_conns\":344,\"engine\":$ENGINE},{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":52}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"team-one\",\"api_keys\":[\"key-of-team-one\"],\"priority\":1}]}"
}

# start_host NAME ZONE OFFSET: starts an entry host as the deploy file does.
# Callers are at BASE+OFFSET, operators at BASE+OFFSET+1, peers at
# BASE+OFFSET+2; HOST_PID gets its process id
start_host() {
    local port=$((BASE + $3))
    sed -e "s/{{node_name}}/$1/; s/{{zone}}/$2/; s/{{listen.front}}/127.0.0.1:$port/" \
        -e "s/{{listen.ready_addr}}/127.0.0.1:$((port + 1))/; s/{{listen.control_addr}}/127.0.0.1:$((port + 2))/" \
        -e "s/^seeds = .*/seeds = [${SEEDS:-}]/; s/{{platform.address}}/$STORE/" \
        -e 's/{{bounds.retry_slack}}/106/; s/{{bounds.retry_ratio}}/0.2/' deploy/settings.toml >"$DIR/$1.toml"
    target/packages/cuminquay --settings "$DIR/$1.toml" >>"$DIR/$1.log" 2>&1 &
    HOST_PID=$!
    PIDS="$PIDS $!"
    wait_for "$1 is not ready" curl -sf "http://127.0.0.1:$((port + 1))/readyz"
}

# knows NAME REPLICA...: waits until the host has read these replicas' entries
knows() {
    local host=$1 name
    shift
    for name in "$@"; do wait_for "$host does not know $name" grep -q "name=$name " "$DIR/$host.log"; done
}

# callers OPTION...: starts callers; CALLERS gets the process id
callers() {
    target/review-2/caller --record "$RECORD" "$@" 2>>"$DIR/callers.log" &
    CALLERS=$!
    PIDS="$PIDS $!"
}
