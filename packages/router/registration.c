#include "router/registration.h"

#include <string.h>

#include <string.h>

#include "platform/rows.h"

#define RETRY_MS 1000
#define ANY_IP "0.0.0.0:"
#define ANY_IP "0.0.0.0:"

struct cq_registration {
    cq_app_t *app;
    cq_store_t *store;
    guint timer;
    gboolean writing;
    gboolean removed;
};

static void
write_entry(cq_registration_t *registration);

static gboolean
on_timer(gpointer data)
{
    cq_registration_t *registration = data;
    registration->timer = 0;
    if (!registration->removed) {
        write_entry(registration);
    }
    return G_SOURCE_REMOVE;
}

static void
on_written(const cq_store_page_t *page, void *data)
{
    cq_registration_t *registration = data;
    registration->writing = FALSE;
    if (page->outcome != CQ_STORE_DONE && !registration->removed) {
        registration->timer = g_timeout_add(RETRY_MS, on_timer, registration);
    }
}

/* Fills in the address at which peers reach the port for callers: if it
 * listens on every address of this host, with the one that peers use. */
static void
fill_callers(const cq_settings_t *settings, cq_host_row_t *row)
{
    const char *colon = strrchr(settings->peers, ':');
    if (!g_str_has_prefix(settings->callers, ANY_IP) || colon == NULL) {
        g_strlcpy(row->callers, settings->callers, sizeof row->callers);
        return;
    }
    g_snprintf(row->callers, sizeof row->callers, "%.*s:%s",
               (int)(colon - settings->peers), settings->peers,
               settings->callers + strlen(ANY_IP));
}

static void
write_entry(cq_registration_t *registration)
{
    const cq_settings_t *settings = cq_app_settings(registration->app);
    cq_host_row_t row = {.incarnation = cq_app_incarnation(registration->app)};
    g_strlcpy(row.addr, settings->peers, sizeof row.addr);
    g_strlcpy(row.zone, settings->zone, sizeof row.zone);
    fill_callers(settings, &row);
    char *text = cq_rows_format_host(&row);
    registration->writing = TRUE;
    cq_store_write(registration->store, CQ_TOPIC_HOSTS, settings->host, text,
                   on_written, registration);
    g_free(text);
}

static void
on_removed(const cq_store_page_t *page, void *data)
{
    (void)page;
    (void)data;
}

cq_registration_t *
cq_registration_new(cq_app_t *app, cq_store_t *store)
{
    cq_registration_t *registration = g_new0(cq_registration_t, 1);
    registration->app = app;
    registration->store = store;
    write_entry(registration);
    return registration;
}

void
cq_registration_free(cq_registration_t *registration)
{
    if (registration->timer != 0) {
        g_source_remove(registration->timer);
    }
    g_free(registration);
}

void
cq_registration_remove(cq_registration_t *registration)
{
    registration->removed = TRUE;
    cq_store_write(registration->store, CQ_TOPIC_HOSTS,
                   cq_app_settings(registration->app)->host, NULL, on_removed,
                   registration);
}

void
cq_registration_resume(cq_registration_t *registration)
{
    if (registration->removed) {
        cq_registration_remove(registration);
    }
    else if (registration->writing) {
        write_entry(registration);
    }
}

void
cq_registration_renew(cq_registration_t *registration)
{
    if (!registration->removed && registration->timer == 0) {
        write_entry(registration);
    }
}
