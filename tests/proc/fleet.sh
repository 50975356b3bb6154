# A small fleet for the tests of real processes: entry hosts a and b in two
# zones, two engines, two plain replicas.
. tests/lib.sh

A=$((BASE + 10)) B=$((BASE + 20))
E1=$((BASE + 30)) E2=$((BASE + 31))
P1=$((BASE + 40)) P2=$((BASE + 41))
MODEL="Authorization: Bearer demo-analitica"
SEATS="Authorization: Bearer demo-despacho"

start_fleet() {
    platform --retain "${RETAIN:-100000}"
    standin engine $E1 --step-ms "${STEP_MS:-10}"
    standin engine $E2 --step-ms "${STEP_MS:-10}"
    standin plain $P1
    standin plain $P2
    row a $((A + 2)) valle-a ""
    row b $((B + 2)) valle-b ""
    row engine-1 $E1 valle-a modelo-cupos
    row engine-2 $E2 valle-b modelo-cupos
    row plain-1 $P1 valle-a reservas
    row plain-2 $P2 valle-b reservas
    send_rows
    entry a valle-a $A
    entry b valle-b $B
    "$BUILD/cuminquayctl" publish --log "$LOG" examples/*.toml >/dev/null ||
        fail publish
    local port
    for port in $((A + 1)) $((B + 1)); do
        wait_for "http://127.0.0.1:$port/readyz"
        wait_until "upstreams=4 peers_heard=1 services=2" \
            "$BUILD/cuminquayctl" status --at 127.0.0.1:$port
    done
}

# prompt PORT TAG TOKENS: a whole answer
prompt() {
    curl -s -m 60 -H "$MODEL" "http://127.0.0.1:$1/v1/completions" \
        -d "{\"model\":\"cupos-1\",\"prompt\":\"#$2 x\",\"max_tokens\":$3}"
}

# whole TAG TOKENS ANSWER: is the answer whole and its own?
whole() {
    local want="" i
    for i in $(seq 0 $(($2 - 1))); do want="$want$1:$i "; done
    case "$3" in *"\"text\":\"$want\""*) return 0 ;; esac
    return 1
}

# hold PORT KEY: a seat hold
hold() {
    curl -s -m 30 -H "$SEATS" -H "Idempotency-Key: $2" -X POST -d '{}' \
        "http://127.0.0.1:$1/s/reservas/holds"
}

# count PORT NAME: a counter of an entry host's operator port
count() {
    curl -s "http://127.0.0.1:$(($1 + 1))/metrics" |
        awk -v name="cuminquay_$2" '$1 == name { print $2 }'
}

fault() { curl -s -X POST "http://127.0.0.1:$1/fault?$2" >/dev/null; }

counters() {
    curl -s "http://127.0.0.1:$1/counters"
    echo
}
