/**
 * DOC: pace
 *
 * Bodies of answers that leave at a rate which all connections share, as from
 * a server whose disk or link is busy.
 */
#ifndef STANDIN_PACE_H
#define STANDIN_PACE_H

#include "server.h"

/** struct standin_pace_t - the rate, and the bodies that wait */
typedef struct standin_pace standin_pace_t;

/** standin_pace_new() - Return: a pace without a limit */
standin_pace_t *
standin_pace_new(void);

/** standin_pace_set() - let all bodies together leave at @bytes_per_s, or at
 * once if that is 0 */
void
standin_pace_set(standin_pace_t *pace, guint bytes_per_s);

/** standin_pace_write() - write a body to @conn, whose head is written */
void
standin_pace_write(standin_pace_t *pace, standin_conn_t *conn,
                   const void *body, gsize len);

/** standin_pace_written() - Return: bytes that have left since the start */
guint64
standin_pace_written(const standin_pace_t *pace);

#endif
