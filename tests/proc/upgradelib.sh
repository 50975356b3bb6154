# Functions for tests of hosts of two versions side by side: an older version is
# built from this repository's history.
#
# Environment: OLD is the commit of the older version; OLD_DIR a folder that
# keeps its build, default one that is removed at the end.
. tests/proc/cutlib.sh
# The commit before the first one after which hosts pass requests on to peers.
OLD=${OLD:-6b5bdba^}
NOTICE_MS=${NOTICE_MS:-800}
LIMIT_MS=${LIMIT_MS:-7500}
# Upstreams p1 to p6 are plain, p7 to p10 have engines.
UPSTREAMS=10
FIRST_ENGINE=7
# Time within which hosts must obey a change of the configuration or of an
# upstream's state, from the store's confirmation on.
OBEY_MS=2000
# A request that a host reads and doesn't pass on is answered or closed in this
# time.
READ_SLACK_MS=200
STOPS_FILE=$DIR/stops
CHANGES_FILE=$DIR/changes
VERSION=5
: >"$STOPS_FILE"
: >"$CHANGES_FILE"

# build_old: builds the program of the older version, if that isn't done; its
# path is in OLD_PROGRAM
build_old() {
    local commit
    commit=$(git rev-parse --verify --quiet "$OLD^{commit}") ||
        fail "no commit $OLD in this clone; fetch the whole history (git fetch --unshallow), or name another with OLD"
    OLD_DIR=${OLD_DIR:-$DIR/old}
    OLD_PROGRAM=$OLD_DIR/$commit/build/packages/cuminquay
    NEW_PROGRAM=$BUILD/cuminquay
    [ ! -x "$OLD_PROGRAM" ] || return 0
    mkdir -p "$OLD_DIR/$commit"
    git archive "$commit" | tar -x -C "$OLD_DIR/$commit" || fail "git archive $commit"
    {
        meson setup -Doptimization=0 "$OLD_DIR/$commit/build" "$OLD_DIR/$commit" &&
            ninja -j4 -C "$OLD_DIR/$commit/build" packages/cuminquay
    } >"$DIR/old.build" 2>&1 || fail "$commit can't be built: $(tail -3 "$DIR/old.build")"
    say "the older version is $(git log -1 --format='%h %s' "$commit")"
}

service_of() { if [ "${1#p}" -ge $FIRST_ENGINE ]; then echo m; else echo p; fi; }

# replica NAME PORT: starts an upstream and writes its record to the store
replica() {
    fleetstandin replica "$2" --name "$1" --log "$ARRIVALS_FILE"
    put_upstream "$1" "$2" "$(service_of "$1")" ready
}

# config VERSION ROUTES [TEAM]: writes a configuration with both services to the
# store; TEAM is the object of a second team
config() {
    local limits="{\"max_header_bytes\":4096,\"max_body_bytes\":100000,\"header_timeout_ms\":1000,\"idle_timeout_ms\":3000}"
    local engine="{\"slots\":16,\"kv_tokens\":100000,\"step_ms\":20,\"per_seq_ms\":0.1,\"read_per_s\":4000}"
    put keyed.op config "{\"version\":$1,\"routes\":[$2,$(route /model/stream/ streaming true false | sed 's/"service":"p"/"service":"m"/')],\"services\":[{\"name\":\"p\"},{\"name\":\"m\",\"engine\":$engine}],\"limits\":$limits,\"tenants\":[{\"name\":\"team-1\",\"api_keys\":[\"secret-1\"]}${3:+,$3}]}"
}

# replace HOST PROGRAM: stops the host as in planned work, and starts PROGRAM in
# its place
replace() {
    local pid=PID_h$1 stopped ended status
    stopped=$(now_ms)
    kill -TERM "${!pid}" 2>/dev/null || note "h$1 ended by itself"
    wait "${!pid}"
    status=$?
    ended=$(now_ms)
    [ $status = 0 ] || note "h$1 ended its stop with exit status $status"
    start_again "$1" "$2"
    echo "h$1 port=$(port_of "$1") from=$stopped to=$ended ready=$(now_ms)" >>"$STOPS_FILE"
}

# start_again HOST PROGRAM: starts PROGRAM as the host, and waits until it is
# ready
start_again() {
    HOST_PROGRAM=$2 STORE_ADDR="$(ip_of "$1"):$BASE" entry_with_store "h$1" "$(port_of "$1")" a
    wait_for_http "http://127.0.0.1:$(($(port_of "$1") + 1))/readyz"
}

# change: toggles the second team's key, every second time also a route, and
# lets an upstream leave or come back; the file of changes gets what holds from
# when on
change() {
    local began team="" routes=$ROUTES
    VERSION=$((VERSION + 1))
    HAS_KEY=$((1 - ${HAS_KEY:-0}))
    [ $HAS_KEY = 0 ] && HAS_ROUTE=$((1 - ${HAS_ROUTE:-0}))
    [ $HAS_KEY = 0 ] || team='{"name":"team-2","api_keys":["secret-2"]}'
    [ "${HAS_ROUTE:-0}" = 0 ] || routes="$routes,$(route /added/ safe false false)"
    began=$(now_ms)
    config $VERSION "$routes" "$team" || note "a configuration was not written"
    echo "what=key has=$HAS_KEY began=$began done=$(now_ms)" >>"$CHANGES_FILE"
    echo "what=route has=${HAS_ROUTE:-0} began=$began done=$(now_ms)" >>"$CHANGES_FILE"
    began=$(now_ms)
    if [ $HAS_KEY = 0 ]; then
        put_upstream p3 $((BASE + 23)) p draining "$VERSION"
    else
        put_upstream p3 $((BASE + 23)) p ready "$VERSION"
    fi || note "an upstream's record was not written"
    echo "what=p3 has=$HAS_KEY began=$began done=$(now_ms)" >>"$CHANGES_FILE"
}

# changes: makes a change every CHANGE_MS until it is ended
changes() {
    while true; do
        sleep $((CHANGE_MS / 1000)).$((CHANGE_MS % 1000 / 100))
        change
    done
}

# callers_of NAME KINDS EVERY_MS [OPTION...]: callers that send until end_callers
callers_of() {
    local name=$1 kinds=$2 every=$3
    shift 3
    callers "$name" "$kinds" "$every" 600000 "$@"
    CALLER_PIDS="${CALLER_PIDS:-} $CALLERS_PID"
    NAMES="${NAMES:-} $name"
}

# usual_callers: starts the callers of all kinds
usual_callers() {
    callers_of calls "/safe/ok,+/unsafe/ok,+/unsafe/slow?ms=700,/stream/ok?n=40&ms=25,+/once/stream/ok?n=40&ms=25" 250
    callers_of models "/model/stream/ok?n=20&ms=40" 300 --field "Cuminquay-Token-Count: 300,20"
    callers_of keys "+/unsafe/ok" 200 --key secret-2
    callers_of added "/added/ok" 200
}

# end_callers: waits until all that was sent is answered
end_callers() {
    local pid
    # shellcheck disable=SC2086
    kill -TERM $CALLER_PIDS
    for pid in $CALLER_PIDS; do wait "$pid"; done
    for i in $HOST_NUMBERS; do
        pid=PID_h$i
        kill -0 "${!pid}" 2>/dev/null || note "h$i ended by itself"
    done
}

# rejected: prints the sum of what hosts rejected of their peers' messages
rejected() {
    local i
    for i in $HOST_NUMBERS; do curl -sf "http://127.0.0.1:$(($(port_of "$i") + 1))/metrics"; done |
        awk '/^cuminquay_(peer_frames_bad|peers_rejected|invariants_broken)_total / {n[$1] += $2}
            END {for (k in n) printf "%s=%d ", k, n[k]}'
}

# verdict_of NAME...: prints what these callers saw, see upgrade.awk
verdict_of() {
    local name
    for name in "$@"; do sed "s/^/call /" "$DIR/$name.calls"; done |
        cat "$STOPS_FILE" "$CHANGES_FILE" "$ARRIVALS_FILE" - |
        awk -v obey=$OBEY_MS -v slack=$READ_SLACK_MS -f tests/proc/upgrade.awk
}

# end_drill: fails if a rule was broken, or a failure was recorded; KEEP names a
# folder that keeps what callers, hosts and upstreams wrote
end_drill() {
    local line counts
    counts=$(rejected)
    say "rejected by hosts: $counts"
    case $counts in *peers_rejected_total=0*) ;; *) note "hosts rejected peers: $counts" ;; esac
    case $counts in *invariants_broken_total=0*) ;; *) note "invariants were broken: $counts" ;; esac
    # shellcheck disable=SC2086
    verdict_of $NAMES >"$DIR/verdict"
    grep -v "^broken" "$DIR/verdict"
    grep "^broken" "$DIR/verdict" | sed 's/:.*//' | sort | uniq -c
    [ -z "${KEEP:-}" ] || cp -r "$DIR" "$KEEP"
    while read -r line; do note "$line"; done < <(grep "^broken" "$DIR/verdict" | head -20)
    end_notes
}
