#include "http/stall.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/limits.h"

/* How far the user timeout is put off at a time. It must leave the process
 * time for several checks. */
#define PUT_OFF_US (2 * CQ_SECOND_US)
/* Value of tcpi_state in an established connection. */
#define STATE_ESTABLISHED 1

static gboolean
read_info(int fd, struct tcp_info *info)
{
    socklen_t len = sizeof *info;
    memset(info, 0, sizeof *info);
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, info, &len) == 0 &&
           len >= offsetof(struct tcp_info, tcpi_notsent_bytes) +
                      sizeof info->tcpi_notsent_bytes;
}

/* Whether bytes wait and none is on its way. */
static gboolean
is_window_closed(const struct tcp_info *info)
{
    return info->tcpi_state == STATE_ESTABLISHED && info->tcpi_unacked == 0 &&
           info->tcpi_notsent_bytes > 0;
}

static void
set_user_timeout(int fd, gint64 timeout_us)
{
    unsigned int ms = (unsigned int)(timeout_us / CQ_MS_US);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

static void
forget(cq_stall_t *stall, int fd)
{
    if (stall->put_off) {
        set_user_timeout(fd, CQ_TCP_UNACKED_MS * CQ_MS_US);
    }
    memset(stall, 0, sizeof *stall);
}

/* Whether the other side has answered neither a probe nor a retransmission for
 * the whole time limit, though bytes waited as long. One that is sent just now
 * has no answer either, so two checks in a row must find it so. */
static gboolean
is_silent(cq_stall_t *stall, const struct tcp_info *info, gint64 now_us)
{
    const gint64 limit_us = CQ_TCP_UNACKED_MS * CQ_MS_US;
    gboolean unanswered = info->tcpi_probes > 0 || info->tcpi_retransmits > 0;
    gboolean was_unanswered = stall->unanswered;
    stall->unanswered = unanswered &&
                        info->tcpi_last_ack_recv * CQ_MS_US > limit_us &&
                        now_us - stall->since_us > limit_us;
    return was_unanswered && stall->unanswered;
}

/* The kernel counts the user timeout from the first probe of a closed window.
 * It goes on counting while the window opens by less than the next segment,
 * and may do so until everything is acknowledged. */
static void
put_off(cq_stall_t *stall, int fd, gint64 now_us, gint64 ack_age_us)
{
    const gint64 limit_us = CQ_TCP_UNACKED_MS * CQ_MS_US;
    gint64 end_us = now_us + MIN(PUT_OFF_US, limit_us - ack_age_us);
    if (end_us - stall->counting_since_us > limit_us) {
        stall->put_off = TRUE;
        set_user_timeout(fd, end_us - stall->counting_since_us);
    }
}

cq_stall_state_t
cq_stall_check(cq_stall_t *stall, int fd, gboolean patient)
{
    int waiting = 0;
    if (ioctl(fd, SIOCOUTQ, &waiting) == 0 && waiting == 0) {
        forget(stall, fd);
        return CQ_STALL_NONE;
    }
    struct tcp_info info;
    if (!read_info(fd, &info)) {
        forget(stall, fd);
        return CQ_STALL_MOVING;
    }
    gint64 now_us = g_get_monotonic_time();
    if (stall->counting_since_us == 0 && is_window_closed(&info)) {
        stall->counting_since_us = now_us - CQ_STALL_CHECK_MS * CQ_MS_US;
    }
    if (info.tcpi_bytes_acked != stall->acked || stall->since_us == 0) {
        stall->since_us = now_us;
        stall->acked = info.tcpi_bytes_acked;
    }
    if (is_silent(stall, &info, now_us)) {
        return CQ_STALL_SILENT;
    }
    gint64 ack_age_us = info.tcpi_last_ack_recv * CQ_MS_US;
    /* An age of 0 is also what a system without this figure shows. */
    if (patient && ack_age_us > 0 && stall->counting_since_us != 0 &&
        now_us - stall->since_us < CQ_STALL_MAX_US) {
        put_off(stall, fd, now_us, ack_age_us);
    }
    return stall->counting_since_us != 0 ? CQ_STALL_CLOSED : CQ_STALL_MOVING;
}

void
cq_stall_leave(int fd)
{
    int waiting = 0;
    if (ioctl(fd, SIOCOUTQ, &waiting) == 0 && waiting > 0) {
        set_user_timeout(fd, CQ_STALL_MAX_US);
    }
}
