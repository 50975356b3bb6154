# Reads, in this order, the planned stops, the changes, the lines of upstreams
# and those of callers (with "call " before each). Prints what callers saw, and
# a line "broken RULE ..." for each request with which a rule was broken.
# A line "trouble port=PORT from=TIME to=TIME" beside the stops is a time that
# LOST leaves out at a host, or with port=all at all.

# value of NAME= in the line
function value(name,    i, n) {
    n = length(name) + 1
    for (i = 1; i <= NF; i++) if (substr($i, 1, n) == name "=") return substr($i, n + 1)
    return ""
}

# whether WHAT was there since OBEY ms before the time: 1 yes, 0 no, -1 either
function there(what, at,    i, is) {
    is = what == "p3"
    for (i = 0; i < changed[what]; i++) {
        if (at < began[what, i]) break
        if (at < finished[what, i] + obey && has[what, i] != is) return -1
        is = has[what, i]
    }
    return is
}

function broken(rule) {
    print "broken " rule ": " $0
    breaks++
}

function is_once(path) { return path ~ /^\/(unsafe|once)\// }

# A connection was closed before its request was read: whether a stop, or the
# beginning of one, explains it
function crosses_stop(port, at, ms,    i) {
    for (i = 0; i < stops; i++)
        if (stop_port[i] == port && at + ms >= stop_from[i] && at <= stop_to[i]) return 1
    return 0
}

# Whether nobody listened at the port at a moment of the request.
function is_down(port, at, ms,    i) {
    for (i = 0; i < stops; i++)
        if (stop_port[i] == port && at + ms >= stop_from[i] && at <= stop_ready[i]) return 1
    return 0
}

function is_disturbed(port, at, ms,    i) {
    for (i = 0; i < troubles; i++)
        if ((trouble_port[i] == port || trouble_port[i] == "all") && at + ms >= trouble_from[i] && at <= trouble_to[i]) return 1
    return 0
}

BEGIN { stops = troubles = 0 }

/^h[0-9]+ port=/ {
    stop_port[stops] = value("port") + 0; stop_from[stops] = value("from") + 0; stop_to[stops] = value("to") + 0
    stop_ready[stops++] = value("ready") + 0
    next
}
/^trouble / {
    trouble_port[troubles] = value("port") == "all" ? "all" : value("port") + 0; trouble_from[troubles] = value("from") + 0; trouble_to[troubles++] = value("to") + 0
    next
}
/^what=/ {
    w = value("what"); i = changed[w]++
    has[w, i] = value("has") + 0; began[w, i] = value("began") + 0; finished[w, i] = value("done") + 0
    next
}
/ attempt=/ {
    id = value("attempt"); at = value("at_ms") + 0
    runs[id]++
    arrived++
    if (is_once($3) && runs[id] == 2) broken("TWICE")
    if ($1 == "p3" && there("p3", at) == 0) broken("DRAIN")
    next
}
$1 == "call" {
    id = value("id"); port = value("port") + 0; path = value("path"); at = value("at_ms") + 0; ms = value("ms") + 0
    result = value("result"); conn = value("conn")
    n[result]++; sent++
    if (result == "disorder" || result == "malformed") broken("ORDER")
    if (is_once(path) && result ~ /^(408|421|429|503)$/ && runs[id]) broken("REFUSED")
    if (result == "served" && !runs[id]) broken("MIXED")
    if (result == "cut" || result == "late" || result == "unread") {
        if (is_disturbed(port, at, ms)) disturbed++
        else if (result == "unread" && !runs[id] && ms <= slack && crosses_stop(port, at, ms)) crossing[conn]++
        else if (result == "unread" && !runs[id] && ms <= slack && conn == "kept") idle++
        else broken("LOST")
    }
    if (result == "refused" && !is_disturbed(port, at, ms) && !is_down(port, at, ms)) broken("LOST")
    if (path == "/added/ok") { what = "route"; may_not = result ~ /^(401|403|404)$/ }
    else if (id ~ /^keys/) { what = "key"; may_not = result ~ /^(401|403|404)$/ }
    else { if (result ~ /^4/ && result !~ /^(408|421|429)$/) broken("DENIED"); next }
    is = there(what, at)
    if (is == 0 && runs[id]) broken("CONFIG")
    if (is == 1 && may_not) broken("CONFIG")
    if (is == 0) checked_gone[what]++
    if (is == 1) checked_there[what]++
}

END {
    printf "%d sent, %d arrivals; ", sent, arrived
    for (r in n) printf "%s=%d ", r, n[r]
    printf "\n%d stops, %d changes of the configuration; closed unread at a stop: %d on kept connections, %d on new ones; at other times %d on kept ones; in a trouble %d without an answer\n", stops, changed["key"], crossing["kept"], crossing["new"], idle, disturbed
    printf "sent to the key while it was gone %d, there %d; to the route while it was gone %d, there %d\n", checked_gone["key"], checked_there["key"], checked_gone["route"], checked_there["route"]
    printf "%d requests with which a rule was broken\n", breaks
}
