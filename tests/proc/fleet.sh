# Functions for tests of a small fleet of real processes: entry hosts a and b
# in two zones, two engines and two replicas of a plain service.
. tests/lib.sh

# Ports of the processes; an entry host also uses the two ports after its own.
PORT_A=$((BASE + 10)) PORT_B=$((BASE + 20))
PORT_ENGINE1=$((BASE + 30)) PORT_ENGINE2=$((BASE + 31))
PORT_PLAIN1=$((BASE + 40)) PORT_PLAIN2=$((BASE + 41))
AUTH_MODEL="Authorization: Bearer demo-analitica"
AUTH_SEATS="Authorization: Bearer demo-despacho"

# start_fleet: starts all processes, publishes the example service files and
# waits until both entry hosts are ready. RETAIN: number of records that the
# log keeps; STEP_MS: time between an engine's tokens.
start_fleet() {
    platform --retain "${RETAIN:-100000}"
    standin engine $PORT_ENGINE1 --step-ms "${STEP_MS:-10}"
    standin engine $PORT_ENGINE2 --step-ms "${STEP_MS:-10}"
    standin plain $PORT_PLAIN1
    standin plain $PORT_PLAIN2
    add_host_row a $((PORT_A + 2)) valle-a ""
    add_host_row b $((PORT_B + 2)) valle-b ""
    add_host_row engine-1 $PORT_ENGINE1 valle-a modelo-cupos
    add_host_row engine-2 $PORT_ENGINE2 valle-b modelo-cupos
    add_host_row plain-1 $PORT_PLAIN1 valle-a reservas
    add_host_row plain-2 $PORT_PLAIN2 valle-b reservas
    post_host_list
    entry a valle-a $PORT_A
    entry b valle-b $PORT_B
    "$BUILD/cuminquayctl" publish --log "$LOG_ADDR" examples/*.toml >/dev/null ||
        fail publish
    local port
    for port in $((PORT_A + 1)) $((PORT_B + 1)); do
        wait_for_http "http://127.0.0.1:$port/readyz"
        wait_for_output "upstreams=4 peers_heard=1 services=2" \
            "$BUILD/cuminquayctl" status --at 127.0.0.1:$port
    done
}

# prompt PORT TAG TOKENS: requests a completion of TOKENS tokens and prints the
# answer
prompt() {
    curl -s -m 60 -H "$AUTH_MODEL" "http://127.0.0.1:$1/v1/completions" \
        -d "{\"model\":\"cupos-1\",\"prompt\":\"#$2 x\",\"max_tokens\":$3}"
}

# is_whole_answer TAG TOKENS ANSWER: does ANSWER hold all TOKENS tokens, and
# those of the request TAG? The engine puts the prompt's tag into each token.
is_whole_answer() {
    local want="" i
    for i in $(seq 0 $(($2 - 1))); do want="$want$1:$i "; done
    case "$3" in *"\"text\":\"$want\""*) return 0 ;; esac
    return 1
}

# hold PORT KEY: makes a seat hold with this idempotency key; prints the answer
hold() {
    curl -s -m 30 -H "$AUTH_SEATS" -H "Idempotency-Key: $2" -X POST -d '{}' \
        "http://127.0.0.1:$1/s/reservas/holds"
}

# count PORT NAME: prints a counter of the entry host whose callers use PORT
count() {
    curl -s "http://127.0.0.1:$(($1 + 1))/metrics" |
        awk -v name="cuminquay_$2" '$1 == name { print $2 }'
}

# fault PORT NAME=N: sets a fault of a standin process
fault() { curl -s -X POST "http://127.0.0.1:$1/fault?$2" >/dev/null; }

# counters PORT: prints the counters of an engine or plain service
counters() {
    curl -s "http://127.0.0.1:$1/counters"
    echo
}
