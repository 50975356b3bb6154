#include "router/partsync.h"

struct cq_partsync {
    cq_app_t *app;
    cq_links_t *links;
    GArray *queued;
};

static const cq_part_report_t *
rows_of(const GArray *reports)
{
    return (const cq_part_report_t *)(const void *)reports->data;
}

static const char *
own_zone(const cq_partsync_t *sync)
{
    return cq_app_settings(sync->app)->zone;
}

static void
send_reports(cq_partsync_t *sync, cq_links_scope_t scope,
             const GArray *reports)
{
    GPtrArray *frames = cq_codec_encode_parts(rows_of(reports), reports->len);
    for (guint i = 0; i < frames->len; i++) {
        cq_links_send_frame(sync->links, scope, own_zone(sync),
                            g_ptr_array_index(frames, i));
    }
    g_ptr_array_unref(frames);
}

cq_partsync_t *
cq_partsync_new(cq_app_t *app, cq_links_t *links)
{
    cq_partsync_t *sync = g_new0(cq_partsync_t, 1);
    sync->app = app;
    sync->links = links;
    sync->queued = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
    return sync;
}

void
cq_partsync_free(cq_partsync_t *sync)
{
    g_array_unref(sync->queued);
    g_free(sync);
}

void
cq_partsync_queue(cq_partsync_t *sync, const cq_part_report_t *report)
{
    g_array_append_val(sync->queued, *report);
    if (sync->queued->len == CQ_PART_REPORTS_MAX) {
        cq_partsync_flush(sync);
    }
}

void
cq_partsync_flush(cq_partsync_t *sync)
{
    send_reports(sync, CQ_LINKS_ALL, sync->queued);
    g_array_set_size(sync->queued, 0);
}

void
cq_partsync_send_all(cq_partsync_t *sync, cq_link_t *link)
{
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
    cq_core_part_reports(cq_app_core(sync->app), reports);
    GPtrArray *frames = cq_codec_encode_parts(rows_of(reports), reports->len);
    for (guint i = 0; i < frames->len; i++) {
        cq_link_send(link, g_ptr_array_index(frames, i));
    }
    g_ptr_array_unref(frames);
    g_array_unref(reports);
}

gboolean
cq_partsync_receive(cq_partsync_t *sync, const Cq__PartReports *message,
                    const char *zone)
{
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
    gboolean valid = cq_codec_decode_parts(message, reports);
    if (valid) {
        cq_event_t event = {.kind = CQ_EV_PARTS};
        event.parts.rows = rows_of(reports);
        event.parts.len = reports->len;
        cq_app_post(sync->app, &event);
        gboolean from_other_zone = !g_str_equal(zone, own_zone(sync));
        if (from_other_zone && cq_core_has_cells(cq_app_core(sync->app))) {
            send_reports(sync, CQ_LINKS_IN_ZONE, reports);
        }
    }
    g_array_unref(reports);
    return valid;
}
