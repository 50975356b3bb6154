/**
 * DOC: link
 *
 * One TCP connection to another serving process, with length-prefixed frames.
 * Each side sends a challenge and proves by an HMAC (RFC 2104) over the
 * other's challenge that it has the peer key.
 */
#ifndef CQ_LINK_H
#define CQ_LINK_H

#include "router/app.h"
#include "wire/codec.h"

G_BEGIN_DECLS

typedef struct cq_link cq_link_t;

/**
 * struct cq_link_options_t - options of cq_link_new()
 * @app: the process
 * @dial: the peer's address `ip:port` if this side opens the connection, else
 *   NULL; not read after cq_link_new()
 * @fd: the accepted connection if @dial is NULL; the link owns it
 * @authenticated: called when the peer is authenticated, with the address that
 *   it listens on
 * @received: called with each frame from the authenticated peer
 * @closed: called once when the link is closed; the link is freed after it
 * @data: passed to the callbacks
 */
typedef struct {
    cq_app_t *app;
    const char *dial;
    int fd;
    void (*authenticated)(cq_link_t *link, const char *addr, void *data);
    void (*received)(cq_link_t *link, const Cq__Frame *frame, void *data);
    void (*closed)(cq_link_t *link, void *data);
    void *data;
} cq_link_options_t;

/** cq_link_new() - Return: a link that has queued its challenge */
cq_link_t *
cq_link_new(const cq_link_options_t *options);

/** cq_link_send() - send a framed message; it is dropped if the peer is not
 * yet authenticated or too many bytes are unsent */
void
cq_link_send(cq_link_t *link, GBytes *frame);

/** cq_link_dialled() - Return: whether this side opened the connection */
gboolean
cq_link_dialled(const cq_link_t *link);

/** cq_link_unsent_bytes() - Return: number of bytes queued and not yet sent */
gsize
cq_link_unsent_bytes(const cq_link_t *link);

/** cq_link_config_sent() - Return: the version of the configuration that
 * cq_link_note_config() was told of last, or 0 */
guint64
cq_link_config_sent(const cq_link_t *link);

/** cq_link_note_config() - note that the configuration of @version is sent to
 * the peer */
void
cq_link_note_config(cq_link_t *link, guint64 version);

/** cq_link_zone() - Return: the peer's zone, as it says; "" until it has */
const char *
cq_link_zone(const cq_link_t *link);

/** cq_link_authenticated() - Return: whether the peer is authenticated */
gboolean
cq_link_authenticated(const cq_link_t *link);

/** cq_link_check_timeouts() - close the link if its connection does not open
 * in time, or if the peer is silent for too long; while a frame is incomplete
 * or the peer not authenticated, the limit is shorter */
void
cq_link_check_timeouts(cq_link_t *link, gint64 now_us);

/** cq_link_close() - close the link */
void
cq_link_close(cq_link_t *link);

G_END_DECLS

#endif
