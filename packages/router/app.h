/**
 * DOC: app
 *
 * The serving process: owns the core and its adapters (connections to callers,
 * upstreams, peers and the platform), passes events to the core and executes
 * the actions that it returns.
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

/** cq_app_new() - Return: a process with @settings, which are copied; it does
 * not listen yet */
cq_app_t *
cq_app_new(const cq_settings_t *settings);

/** cq_app_start() - open the listeners and start reading from the platform;
 * Return: FALSE and @error if a listener fails */
gboolean
cq_app_start(cq_app_t *app, cq_error_t *error);

/** cq_app_free() - close all connections and free */
void
cq_app_free(cq_app_t *app);

/** cq_app_run() - run the main loop until a drain has finished; Return: exit
 * code */
int
cq_app_run(cq_app_t *app);

/** cq_app_reload() - apply those of @settings that may change while serving:
 * seeds, retry budget, drain times and log level; the others are ignored */
void
cq_app_reload(cq_app_t *app, const cq_settings_t *settings);

/** cq_app_drain() - begin a planned stop; a second call ends the drain without
 * waiting for open requests */
void
cq_app_drain(cq_app_t *app);

/** cq_app_post() - pass @event to the core and execute the resulting actions;
 * an event posted meanwhile is queued and handled after them */
void
cq_app_post(cq_app_t *app, const cq_event_t *event);

/** cq_app_core() - Return: the core */
cq_core_t *
cq_app_core(cq_app_t *app);

/** cq_app_fold() - Return: the configuration in force in API mode */
cq_fold_t *
cq_app_fold(cq_app_t *app);

/** cq_app_settings() - Return: the settings */
const cq_settings_t *
cq_app_settings(const cq_app_t *app);

/** cq_app_now_us() - Return: current time in microseconds: the wall-clock time
 * at which the process started plus the time that has passed since */
gint64
cq_app_now_us(const cq_app_t *app);

/** cq_app_incarnation() - Return: number that tells this run of the process
 * from earlier ones: its start time in milliseconds */
guint64
cq_app_incarnation(const cq_app_t *app);

/** cq_app_request_id() - Return: a new id, unique among all hosts */
guint64
cq_app_request_id(cq_app_t *app);

/** cq_app_peer_count() - Return: number of peers that this process is
 * connected to or tries to reach */
guint
cq_app_peer_count(const cq_app_t *app);

/** cq_app_follower() - Return: the follower of the platform's store, or NULL
 * in API mode */
struct cq_follower *
cq_app_follower(cq_app_t *app);

/** cq_app_set_routes() - set the retry budget of the rules in @routes from the
 * settings and route new requests by @routes, which is borrowed until this
 * function is called again */
void
cq_app_set_routes(cq_app_t *app, const cq_routes_t *routes);

/** cq_app_ready() - Return: whether a load balancer should send new callers to
 * this process */
gboolean
cq_app_ready(const cq_app_t *app);

/** cq_app_log() - write a log line `event=@event` with the formatted fields */
void
cq_app_log(cq_app_t *app, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/** cq_app_draining() - Return: whether a planned stop has begun */
gboolean
cq_app_draining(const cq_app_t *app);

/** cq_app_resume_reading() - resume reading the upstream's answer to
 * request @id, as its caller has caught up; API mode only */
void
cq_app_resume_reading(cq_app_t *app, guint64 id);

/** cq_app_count() - add @n to the metric @counter */
void
cq_app_count(cq_app_t *app, cq_counter_t counter, guint64 n);

/** cq_app_send_zone() - send @frame to the peers of this zone */
void
cq_app_send_zone(cq_app_t *app, GBytes *frame);

/** cq_app_connect_peers() - connect to the peers of cq_core_peers */
void
cq_app_connect_peers(cq_app_t *app);

G_END_DECLS

#endif
