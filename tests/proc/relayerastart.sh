#!/bin/bash
# A key that was taken away is accepted by a host that starts on an older copy of
# the store: the store comes back without the newest configuration, and a host
# starts before the operator has written it again. It learns from its peers what
# is in force, also when those have started in the same way.
BUILD=${1:-build}
. tests/proc/relaylib.sh
NAMES="a b c"
port_of() { case $1 in a) echo $((BASE + 10)) ;; b) echo $((BASE + 15)) ;; c) echo $((BASE + 30)) ;; esac; }
SEEDS="\"127.0.0.1:$(($(port_of a) + 2))\", \"127.0.0.1:$(($(port_of b) + 2))\", \"127.0.0.1:$(($(port_of c) + 2))\""
restore() { curl -sf "http://$STORE_ADDR/restore?topic=$1&len=$2" >/dev/null; }
# start NAME: starts the host and waits until it is ready
start() {
    entry_with_store "$1" "$(port_of "$1")"
    wait_for_http "http://127.0.0.1:$(($(port_of "$1") + 1))/readyz"
}
two_replicas
config 6 "$ROUTES,$(route /dropped/ safe false false)"
for name in $NAMES; do start $name; done
for name in $NAMES; do wait_for_output "name=p2" cat "$DIR/$name.log"; done
config 7 "$ROUTES"
for name in $NAMES; do wait_for_output "event=config version=7" cat "$DIR/$name.log"; done
sleep 2
restore keyed.op 2
restore keyed.servers 2
restore keyed.hosts 0
sleep 1
for name in c b; do
    eval "kill -KILL \$PID_$name"
    : >"$DIR/$name.log"
    start $name
    sleep 2
    PORT=$(port_of $name)
    expect_ask "a call on a dropped route, at $name" "404*" /dropped/ok
    expect_ask "a call on a route that is in force, at $name" "200*" /safe/ok
done
# The operator writes again, and what it writes then is in force.
config 8 "$ROUTES,$(route /added/ safe false false)"
sleep 2
for name in $NAMES; do
    PORT=$(port_of $name)
    expect_ask "a call on a route that was added, at $name" "200*" /added/ok
done
