#!/bin/bash
# Entries and configurations of another writer that are nested deeply, or have
# numbers or ports out of range. Four entry hosts of a zone, of which two read
# the upstreams for the others, ignore each of them with one log line, go on
# serving and take the next good record of the same key. So does a host that
# gets all records from its peers, and one that starts with them in the store.
BUILD=${1:-build}
. tests/proc/relaylib.sh
NAMES="a b c d"
port_of() { echo $((BASE + 30 + 5 * $(printf '%d' "'$1") - 5 * 97)); }
SEEDS="\"127.0.0.1:$(($(port_of a) + 2))\", \"127.0.0.1:$(($(port_of b) + 2))\""
# nested COUNT TEXT: prints TEXT that many times
nested() { head -c "$1" /dev/zero | sed "s/\\x00/$2/g"; }
OPEN=$(nested 100000 '[')
BOTH=$(nested 50000 '[')$(nested 50000 ']')
# odd KEY PORT SLOTS BORN: writes an upstream's entry with these texts
odd() {
    put keyed.servers "$1" "{\"service\":\"p\",\"address\":\"127.0.0.1:$2\",\"zone\":\"a\",\"slots\":$3,\"state\":\"ready\",\"born\":$4}"
}
# write_odd: writes one odd entry under each of the keys ODD
write_odd() {
    local p1=$((BASE + 20)) i=0 slots born port
    put keyed.servers odd-open "$OPEN"
    odd odd-nested "$p1" 1 "1,\"new\":$BOTH"
    for port in 0 65536 99999 8080x ''; do odd odd-port-$((i += 1)) "$port" 1 1; done
    for slots in 18446744073709551616 -1 1.5 1e400; do odd odd-slots-$((i += 1)) $p1 $slots 1; done
    for born in 18446744073709551616 -1 1e400 9223372036854775807; do odd odd-born-$((i += 1)) $p1 1 $born; done
    ODD="odd-open odd-nested"
    for i in 1 2 3 4 5; do ODD="$ODD odd-port-$i"; done
    for i in 6 7 8 9; do ODD="$ODD odd-slots-$i"; done
    for i in 10 11 12 13; do ODD="$ODD odd-born-$i"; done
}
# lines HOST KEY: prints how often the host has logged that it ignores the key
lines() { grep -c "event=record_ignored.* key=$2 " "$DIR/$1.log"; }
# expect_ignored HOST: fails unless the host logs each odd entry once, and
# takes none as an upstream
expect_ignored() {
    local key
    for key in $ODD; do
        wait_for_output "event=record_ignored.* key=$key .*why=\"..*\"" cat "$DIR/$1.log"
        [ "$(lines "$1" "$key")" = 1 ] || fail "$1 logged $key $(lines "$1" "$key") times, wanted one line"
    done
    ! grep "event=upstream .*name=odd" "$DIR/$1.log" || fail "$1 took an odd entry as an upstream"
    kill -0 "$(eval "echo \$PID_$1")" || fail "$1 has exited"
    say "$1 ignores each odd entry with one line"
}
# expect_serving HOST PATH: fails unless the host answers five requests
expect_serving() {
    local i
    PORT=$(port_of "$1")
    for i in 1 2 3 4 5; do
        ask "$2"
        case "$ANSWER" in
        "200 from "*) ;;
        *) fail "host $1, $2: got '${ANSWER:0:200}', wanted 200" ;;
        esac
    done
    say "$1 serves $2"
}
# start_entry HOST: starts the host and waits until it is ready
start_entry() {
    entry_with_store "$1" "$(port_of "$1")"
    wait_for_http "http://127.0.0.1:$(($(port_of "$1") + 1))/readyz"
}

two_replicas
for name in $NAMES; do start_entry $name; done
for name in $NAMES; do wait_for_output "name=p2" cat "$DIR/$name.log"; done
for name in $NAMES; do wait_for_output "event=store_reader" cat "$DIR/$name.log"; done

write_odd
for name in $NAMES; do
    expect_ignored $name
    expect_serving $name /safe/ok
done
# Written again and again, they are logged no more.
for i in 1 2 3 4 5; do
    put keyed.servers odd-open "$OPEN"
    odd odd-port-1 0 1 1
done
replica p3 $((BASE + 22)) p
for name in $NAMES; do
    wait_for_output "name=p3" cat "$DIR/$name.log"
    expect_ignored $name
done

# The next good value of the same key is taken.
replica odd-open $((BASE + 23)) p
replica odd-port-1 $((BASE + 24)) p
replica odd-born-13 $((BASE + 25)) p
for name in $NAMES; do
    for key in odd-open odd-port-1 odd-born-13; do
        wait_for_output "event=upstream .*name=$key" cat "$DIR/$name.log"
    done
done
say "a good value of the same key is taken"
put_upstream odd-open $((BASE + 23)) p draining
for name in $NAMES; do wait_for_output "event=leaving.*upstream=odd-open" cat "$DIR/$name.log"; done
for key in odd-open odd-port-1 odd-born-13; do drop keyed.servers $key; done
kill "$(eval "echo \$PID_$((BASE + 23))")" "$(eval "echo \$PID_$((BASE + 24))")" "$(eval "echo \$PID_$((BASE + 25))")"

# Records of entry hosts, and configurations.
put keyed.hosts odd-host "$OPEN"
put keyed.hosts part/odd "$OPEN"
put keyed.op config "$OPEN"
put keyed.op config "{\"version\":6,\"routes\":[$ROUTES],\"new\":$BOTH}"
put keyed.op config '{"version":18446744073709551616,"routes":[],"services":[]}'
put keyed.op config '{"version":9007199254740993,"routes":[],"services":[]}'
for name in $NAMES; do
    wait_for_output "event=record_ignored topic=hosts key=odd-host " cat "$DIR/$name.log"
    wait_for_output "event=record_ignored topic=hosts key=part/odd " cat "$DIR/$name.log"
    wait_for_output "event=record_ignored topic=config key=config .*version" cat "$DIR/$name.log"
    expect_serving $name /safe/ok
    ! grep "event=config version=6" "$DIR/$name.log" || fail "$name took a configuration that is no JSON"
done
# Parts that can't be read are left out, with a line each; the rest holds.
put keyed.op config "{\"version\":6,\"routes\":[7,$ROUTES,$(route /six/ safe false true)],\"services\":[{\"name\":\"p\"}],\"limits\":{\"max_body_bytes\":-1,\"idle_timeout_ms\":1e400},\"tenants\":[{\"name\":\"team-1\",\"api_keys\":[\"secret-1\"]}]}"
for name in $NAMES; do
    wait_for_output "event=record_part_ignored topic=config version=6 part=1 of=2 why=\"routes.0.: " cat "$DIR/$name.log"
    wait_for_output "event=record_part_ignored topic=config version=6 part=2 of=2 why=\"limits: max_body_bytes " cat "$DIR/$name.log"
    expect_serving $name /six/ok
done
config 7 "$ROUTES,$(route /new/ safe false false)"
for name in $NAMES; do
    wait_for_output "event=config version=7" cat "$DIR/$name.log"
    expect_serving $name /new/ok
done

# A host that starts without the store gets everything from its peers.
write_odd
sleep 4
silence 1
start_entry e
wait_for_output "name=p3" cat "$DIR/e.log"
expect_ignored e
expect_serving e /new/ok
silence 0

# Hosts that start with the odd records in the store, whose answer also has
# items that can't be read.
curl -sf "http://$STORE_ADDR/spoil?on=1" >/dev/null
start_entry f
wait_for_output "event=records_unreadable topic=upstreams .*count=2" cat "$DIR/f.log"
wait_for_output "event=record_ignored topic=upstreams key=no-value " cat "$DIR/f.log"
wait_for_output "name=p3" cat "$DIR/f.log"
expect_ignored f
expect_serving f /new/ok
put keyed.op config "$OPEN"
for name in $NAMES e f; do kill -KILL "$(eval "echo \$PID_$name")"; done
sleep 0.2
entry_with_store g "$(port_of g)"
wait_for_output "event=record_ignored topic=config key=config " cat "$DIR/g.log"
wait_for_http "http://127.0.0.1:$(($(port_of g) + 1))/healthz"
PORT=$(port_of g)
expect_ask "a call without a configuration that can be read" "503 *no_configuration*" /new/ok
config 8 "$ROUTES"
wait_for_http "http://127.0.0.1:$(($(port_of g) + 1))/readyz"
wait_for_output "name=p3" cat "$DIR/g.log"
expect_ignored g
expect_serving g /safe/ok
