/**
 * DOC: stall
 *
 * Tells a TCP connection whose other side reads little or nothing for a while
 * from one whose other side is silent. The user timeout of Linux
 * (TCP_USER_TIMEOUT) ends both: it also counts the time in which every probe
 * of a closed window is acknowledged. So while the window is closed and
 * acknowledgements arrive, the user timeout is put off, a little at a time.
 * That also makes the kernel probe that often, so that silence which begins
 * later is found in time.
 *
 * Where TCP_INFO can't be read or doesn't show these facts, the user timeout
 * stays as it was set.
 */
#ifndef CQ_STALL_H
#define CQ_STALL_H

#include <glib.h>

G_BEGIN_DECLS

/* Interval of cq_stall_check() of a connection with unacknowledged bytes. */
#define CQ_STALL_CHECK_MS 500

/**
 * struct cq_stall_t - what is known of a connection; all 0 at first
 * @since_us: no byte has been acknowledged since then
 * @acked: bytes acknowledged by then
 * @counting_since_us: the kernel may count the user timeout since then; 0: the
 *   window has not been closed
 * @unanswered: the last check found it silent for the whole time limit
 * @put_off: the user timeout is longer than CQ_TCP_UNACKED_MS
 */
typedef struct {
    gint64 since_us;
    guint64 acked;
    gint64 counting_since_us;
    gboolean unanswered;
    gboolean put_off;
} cq_stall_t;

/**
 * enum cq_stall_state_t - what a check has found
 * @CQ_STALL_NONE: everything is acknowledged
 * @CQ_STALL_MOVING: bytes are on their way, or their state isn't known
 * @CQ_STALL_CLOSED: the window was closed, acknowledgements arrive, and not
 *   everything has been acknowledged since
 * @CQ_STALL_SILENT: nothing has been acknowledged for CQ_TCP_UNACKED_MS,
 * though the other side was asked
 */
typedef enum {
    CQ_STALL_NONE,
    CQ_STALL_MOVING,
    CQ_STALL_CLOSED,
    CQ_STALL_SILENT,
} cq_stall_state_t;

/** cq_stall_check() - look at the connection @fd, and put its user timeout off
 * if the window is closed and @patient is TRUE */
cq_stall_state_t
cq_stall_check(cq_stall_t *stall, int fd, gboolean patient);

/** cq_stall_leave() - the connection @fd is closed, and isn't checked any
 * more; the kernel goes on with what is unacknowledged, for as long as a
 * connection that is checked may be stalled */
void
cq_stall_leave(int fd);

G_END_DECLS

#endif
