# Functions for tests of five hosts of a zone, of which two read the upstreams
# for the others. To be read after relaylib.sh or a library that reads it.
NAMES="a b c d e"
port_of() { echo $((BASE + 30 + 5 * $(printf '%d' "'$1") - 5 * 97)); }

# five_hosts COUNT: starts the store, the upstreams p1 and p2, which write to
# their entries from time to time, x1 to xCOUNT, which don't, and the hosts;
# READERS gets the names of the readers, OTHERS those of the others
five_hosts() {
    local i name count=$1
    SEEDS="\"127.0.0.1:$(($(port_of a) + 2))\", \"127.0.0.1:$(($(port_of b) + 2))\", \"127.0.0.1:$(($(port_of c) + 2))\""
    two_replicas
    for i in $(seq "$count"); do
        fleetstandin replica $((BASE + 22 + i)) --name x$i --log "$ARRIVALS_FILE"
        put_upstream x$i $((BASE + 22 + i)) p ready
    done
    (
        while sleep 0.6; do
            put_upstream p1 $((BASE + 20)) p ready
            put_upstream p2 $((BASE + 21)) p ready
        done
    ) &
    PIDS="$PIDS $!"
    for name in $NAMES; do entry_with_store $name "$(port_of $name)"; done
    for name in $NAMES; do
        wait_for_http "http://127.0.0.1:$(($(port_of $name) + 1))/readyz"
        wait_for_output "name=x$count" cat "$DIR/$name.log"
    done
    sleep 3
    find_readers
}

# reader NAME: does the host read the upstreams for the others?
reader() { [ "$(grep -o "event=store_reader .*role=[a-z_]*" "$DIR/$1.log" | tail -1 | sed 's/.*role=//')" = for_peers ]; }

# find_readers: sets READERS and OTHERS
find_readers() {
    local name
    READERS="" OTHERS=""
    for name in $NAMES; do
        if reader $name; then READERS="$READERS $name"; else OTHERS="$OTHERS $name"; fi
    done
    [ "$(echo $READERS | wc -w)" = 2 ] || fail "readers:$READERS, wanted two"
}

# kill_readers_and_drop UPSTREAM: kills the readers, and removes the upstream's
# entry; they are to be started again after 0.5 s, which is when this returns
kill_readers_and_drop() {
    local name
    for name in $READERS; do eval "kill -KILL \$PID_$name"; done
    sleep 0.15
    drop keyed.servers "$1"
    sleep 0.35
}

# knows_gone HOST UPSTREAM: does the host know that the upstream is gone?
knows_gone() { grep -q "event=unlisted.*upstream=$2" "$DIR/$1.log"; }
