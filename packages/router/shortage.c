#include "router/shortage.h"

#include "base/limits.h"
#include "http/sock.h"

/* Descriptors are enough again when none was missing for this time. */
#define ENOUGH_AFTER_US CQ_SECOND_US

void
cq_shortage_check(cq_shortage_t *shortage, cq_app_t *app, guint64 refused)
{
    gint64 now_us = g_get_monotonic_time();
    guint64 unopened = cq_sock_unopened();
    guint64 missing = refused - shortage->refused;
    if (unopened > shortage->unopened) {
        missing += unopened - shortage->unopened;
    }
    shortage->refused = refused;
    shortage->unopened = unopened;
    gboolean was_short = shortage->until_us != 0;
    if (missing > 0) {
        cq_app_count(app, CQ_N_NO_DESCRIPTOR, missing);
        shortage->until_us = now_us + ENOUGH_AFTER_US;
    }
    else if (now_us > shortage->until_us) {
        shortage->until_us = 0;
    }
    if ((shortage->until_us != 0) != was_short) {
        cq_app_log(app, was_short ? "descriptors_enough" : "descriptors_short",
                   "refused=%" G_GUINT64_FORMAT " unopened=%" G_GUINT64_FORMAT
                   " usable=%u",
                   refused, unopened, cq_sock_descriptors());
    }
}
