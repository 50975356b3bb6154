/**
 * DOC: memory
 *
 * What an engine reports of memory that it has reserved.
 */
#ifndef CQ_MEMORY_H
#define CQ_MEMORY_H

#include <glib.h>

G_BEGIN_DECLS

/** enum cq_memory_use_t - what an engine says of a reservation */
typedef enum {
    CQ_MEMORY_UNKNOWN, /* it gave no answer that can be read */
    CQ_MEMORY_NONE,    /* it has no such reservation */
    CQ_MEMORY_WAITING, /* the memory isn't free yet */
    CQ_MEMORY_HELD,    /* the memory is set aside, and no request uses it */
    CQ_MEMORY_USED,    /* a request uses the memory */
    CQ_MEMORY_USE_COUNT,
} cq_memory_use_t;

/**
 * struct cq_memory_report_t - what an engine says of a reservation and itself
 * @use: state of the reservation
 * @age_us: its age
 * @waiting: requests that the engine has not begun to run
 * @running: requests that it runs
 * @used_tokens: memory that is in use or reserved
 * @memory_tokens: all of its memory
 */
typedef struct {
    cq_memory_use_t use;
    gint64 age_us;
    gint64 waiting;
    gint64 running;
    gint64 used_tokens;
    gint64 memory_tokens;
} cq_memory_report_t;

G_END_DECLS

#endif
