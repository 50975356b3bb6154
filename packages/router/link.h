/**
 * DOC: link
 *
 * One framed TCP connection between serving processes. Each side proves that
 * it has the peer key by an HMAC over the other's challenge (RFC 2104).
 */
#ifndef CQ_LINK_H
#define CQ_LINK_H

#include "router/app.h"
#include "wire/codec.h"

G_BEGIN_DECLS

typedef struct cq_link cq_link_t;

/**
 * struct cq_link_options_t - how to make a link
 * @app: the process
 * @dial: the peer's address `ip:port` when this side opens the connection,
 *   or NULL; not read after cq_link_new()
 * @fd: the accepted connection otherwise
 * @proved: called when the other side is proved, with its address
 * @heard: called with each frame after both sides are proved
 * @closed: called once at the end; the link is freed after it
 * @data: for the callbacks
 */
typedef struct {
    cq_app_t *app;
    const char *dial;
    int fd;
    void (*proved)(cq_link_t *link, const char *addr, void *data);
    void (*heard)(cq_link_t *link, const Cq__Frame *frame, void *data);
    void (*closed)(cq_link_t *link, void *data);
    void *data;
} cq_link_options_t;

/** cq_link_new() - Return: a link that has sent its challenge */
cq_link_t *
cq_link_new(const cq_link_options_t *options);

/** cq_link_send() - send a framed message once the other side is proved; it
 * is dropped while the link is too slow */
void
cq_link_send(cq_link_t *link, GBytes *frame);

/** cq_link_dialled() - Return: whether this side opened the connection */
gboolean
cq_link_dialled(const cq_link_t *link);

/** cq_link_proved() - Return: whether the other side is proved */
gboolean
cq_link_proved(const cq_link_t *link);

/** cq_link_check() - close the link when part of a frame, or the other
 * side's proof, is overdue */
void
cq_link_check(cq_link_t *link, gint64 now_us);

/** cq_link_close() - close the link */
void
cq_link_close(cq_link_t *link);

G_END_DECLS

#endif
