#include "router/readerrole.h"

#define ROLE_CHECK_US (200 * CQ_MS_US)

static const char *const role_names[] = {
    [CQ_STORE_READER_ALONE] = "alone",
    [CQ_STORE_READER_FOR_PEERS] = "for_peers",
    [CQ_STORE_READER_NONE] = "none",
};

cq_store_reader_t
cq_readerrole_get(cq_readerrole_t *reader)
{
    gint64 now_us = cq_app_now_us(reader->app);
    if (now_us - reader->checked_us < ROLE_CHECK_US) {
        return reader->role;
    }
    cq_store_reader_t role = cq_core_store_reader(cq_app_core(reader->app));
    reader->checked_us = now_us;
    if (role != reader->role) {
        reader->role = role;
        cq_app_log(reader->app, "store_reader", "role=%s", role_names[role]);
    }
    return role;
}
