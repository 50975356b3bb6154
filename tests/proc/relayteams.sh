#!/bin/bash
# A version of the configuration with a team whose name is too long takes a key
# away, adds a team, and later takes all keys away: the rest of each version
# holds, and no route becomes open.
BUILD=${1:-build}
. tests/proc/relaylib.sh
# teams VERSION TEAMS: writes a configuration with these teams
teams() {
    put keyed.op config "{\"version\":$1,\"routes\":[$ROUTES],\"services\":[{\"name\":\"p\"}],\"tenants\":[$2]}"
    wait_for_output "event=config version=$1 " cat "$DIR/h.log"
}
LONG=$(head -c 64 /dev/zero | tr '\0' n)
two_replicas
host_h p1 p2
expect_ask "a call with the key of a team" "200 from p?" /safe/ok
teams 6 "{\"name\":\"$LONG\",\"api_keys\":[\"secret-9\"]},{\"name\":\"team-2\",\"api_keys\":[\"secret-2\",7]}"
wait_for_output "event=record_part_ignored topic=config version=6 part=1 of=2 why=\"tenants.0.: name" cat "$DIR/h.log"
wait_for_output "event=record_part_ignored topic=config version=6 part=2 of=2 why=\"tenants.1.: api_keys.1." cat "$DIR/h.log"
expect_ask "a call with the key that was taken away" "401 *" /safe/ok
CREDENTIAL="Cuminquay-Credential: secret-2"
expect_ask "a call with the key that was added" "200 from p?" /safe/ok
CREDENTIAL="Cuminquay-Credential: secret-9"
expect_ask "a call with the key of the team that was left out" "401 *" /safe/ok
teams 7 "{\"name\":\"team-2\",\"api_keys\":[]}"
for key in secret-1 secret-2 secret-9; do
    CREDENTIAL="Cuminquay-Credential: $key"
    expect_ask "a call with $key, as all are taken away" "401 *" /safe/ok
done
CREDENTIAL="X-None: 1"
expect_ask "a call without a key" "401 *" /safe/ok
expect_ask "a call without a key to an open route" "200 from p?" /open/ok
