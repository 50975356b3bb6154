#!/bin/bash
# Requests that two parsers may read differently (RFC 9112, 11.2) get 400 and the
# end of their connection, and no upstream sees them. A whole URL as target is
# served, and its host goes before the Host field.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
host_h p1 p2
COMMON="$CREDENTIAL\r\nCuminquay-Deadline-Ms: 3000\r\n"
# raw TEXT: sends the bytes, with escapes of printf, on a new connection; OUT
# gets what is answered, and CLOSED whether the host closes within 2 s
raw() {
    exec 3<>"/dev/tcp/127.0.0.1/$PORT"
    printf "$1" >&3
    CLOSED=yes
    timeout 2 cat <&3 >"$DIR/out" || CLOSED=no
    exec 3>&-
    OUT=$(tr -d '\r' <"$DIR/out")
}
# expect_400 WHAT TEXT: fails unless the bytes get one answer, 400, and the end
expect_400() {
    raw "$2"
    expect "$1" "$(printf '%s' "$OUT" | grep '^HTTP/' | tr '\n' ';') closed=$CLOSED" "HTTP/1.1 400 Bad Request; closed=yes"
}
before=$(wc -l <"$ARRIVALS_FILE")
HEAD="POST /unsafe/ok HTTP/1.1\r\nHost: fleet.example\r\n$COMMON"
NEXT="GET /safe/ok HTTP/1.1\r\nHost: fleet.example\r\n$COMMON\r\n"
expect_400 "a blank before a colon" "${HEAD}X-A : b\r\n\r\n$NEXT"
expect_400 "the name of a team with a blank" "${HEAD}Cuminquay-Tenant : x\r\n\r\n$NEXT"
expect_400 "a length with a blank" "${HEAD}Content-Length : 3\r\n\r\nabc$NEXT"
expect_400 "chunks with a blank" "${HEAD}Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n$NEXT"
expect_400 "a folded line" "${HEAD}X-A: b\r\n c\r\n\r\n$NEXT"
expect_400 "another transfer coding" "${HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n$NEXT"
expect_400 "both framings" "${HEAD}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n$NEXT"
expect_400 "no Host field" "GET /safe/ok HTTP/1.1\r\n$COMMON\r\n$NEXT"
expect_400 "two Host fields" "GET /safe/ok HTTP/1.1\r\nHost: fleet.example\r\nHost: fleet.example\r\n$COMMON\r\n$NEXT"
expect "requests that reached upstreams" "$(wc -l <"$ARRIVALS_FILE")" "$before"
raw "GET http://fleet.example/safe/ok HTTP/1.1\r\nHost: other.example\r\nConnection: close\r\n$COMMON\r\n"
expect "a whole URL" "$(printf '%s' "$OUT" | head -1)" "HTTP/1.1 200 OK"
raw "GET http://other.example/safe/ok HTTP/1.1\r\nHost: fleet.example\r\nConnection: close\r\n$COMMON\r\n"
expect "a whole URL of another host" "$(printf '%s' "$OUT" | head -1)" "HTTP/1.1 404 Not Found"
