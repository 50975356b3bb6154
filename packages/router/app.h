/**
 * DOC: app
 *
 * The serving process: owns the core and every adapter, and carries out the
 * core's actions.
 */
#ifndef CQ_APP_H
#define CQ_APP_H

#include <gio/gio.h>
#include <libsoup/soup.h>

#include "config/fold.h"
#include "config/routes.h"
#include "config/settings.h"
#include "core/core.h"

G_BEGIN_DECLS

typedef struct cq_app cq_app_t;

/** cq_app_new() - Return: a process with @settings, not yet listening */
cq_app_t *
cq_app_new(const cq_settings_t *settings);

/** cq_app_start() - open every listener; FALSE and @error when one fails */
gboolean
cq_app_start(cq_app_t *app, cq_error_t *error);

/** cq_app_free() - close and free everything */
void
cq_app_free(cq_app_t *app);

/** cq_app_run() - serve until a drain has finished; Return: exit code */
int
cq_app_run(cq_app_t *app);

/** cq_app_reload() - take what may change while serving from @settings: peers,
 * retries, the times of a stop and the log level; addresses and names stay */
void
cq_app_reload(cq_app_t *app, const cq_settings_t *settings);

/** cq_app_drain() - begin a planned stop; a second call ends it now */
void
cq_app_drain(cq_app_t *app);

/** cq_app_post() - give @event to the core and carry out its actions; events
 * posted meanwhile follow in order */
void
cq_app_post(cq_app_t *app, const cq_event_t *event);

/** cq_app_core() - Return: the core */
cq_core_t *
cq_app_core(cq_app_t *app);

/** cq_app_fold() - Return: the configuration fold */
cq_fold_t *
cq_app_fold(cq_app_t *app);

/** cq_app_settings() - Return: the settings */
const cq_settings_t *
cq_app_settings(const cq_app_t *app);

/** cq_app_now_us() - Return: monotonic time near the wall clock, in
 * microseconds */
gint64
cq_app_now_us(const cq_app_t *app);

/** cq_app_incarnation() - Return: incarnation of this process */
guint64
cq_app_incarnation(const cq_app_t *app);

/** cq_app_request_id() - Return: a new request id */
guint64
cq_app_request_id(cq_app_t *app);

/** cq_app_peers_sought() - Return: peers that this process is linked with or
 * tries to reach */
guint
cq_app_peers_sought(const cq_app_t *app);

/** cq_app_follow() - Return: the follower of the platform's store, or NULL */
struct cq_follow *
cq_app_follow(cq_app_t *app);

/** cq_app_set_routes() - route callers by @routes from now on; borrowed */
void
cq_app_set_routes(cq_app_t *app, const cq_routes_t *routes);

/** cq_app_ready() - Return: whether new callers should come here */
gboolean
cq_app_ready(const cq_app_t *app);

/** cq_app_log() - write the line @event with the formatted fields */
void
cq_app_log(cq_app_t *app, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/** cq_app_draining() - Return: whether a planned stop has begun */
gboolean
cq_app_draining(const cq_app_t *app);

/** cq_app_resume_reading() - a slow caller took its bytes: go on reading for @id */
void
cq_app_resume_reading(cq_app_t *app, guint64 id);

/** cq_app_count() - add @n to counter @which */
void
cq_app_count(cq_app_t *app, cq_counter_t which, guint64 n);

/** cq_app_connect_peers() - keep links to the peers that the core has chosen */
void
cq_app_connect_peers(cq_app_t *app);

G_END_DECLS

#endif
