#include "http/tcpoptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "base/limits.h"

void
cq_tcpoptions_set(int fd)
{
    int on = 1;
    int idle_s = CQ_TCP_KEEPALIVE_IDLE_S;
    int interval_s = CQ_TCP_KEEPALIVE_INTERVAL_S;
    int probes = CQ_TCP_KEEPALIVE_PROBES;
    unsigned int unacked_ms = CQ_TCP_UNACKED_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
               sizeof unacked_ms);
}
