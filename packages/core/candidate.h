/**
 * DOC: candidate
 *
 * The engines that a request of a BATCH service could use, each with its
 * estimated state.
 */
#ifndef CQ_CANDIDATE_H
#define CQ_CANDIDATE_H

#include "core/pass.h"

G_BEGIN_DECLS

/* Share of a stream's gap limit (the longest allowed time between its events)
 * that one pass may take. */
#define CQ_PASS_GAP_PERCENT 85

/**
 * struct cq_candidate_t - an engine that a request could use
 * @engine: the engine
 * @pass: its estimated state
 * @decode_us: time of a pass's decode steps once the request decodes there
 * @wait_us: time until its prefill could begin
 * @recheck_due: it has a rate limit, and a request should go there to learn
 *   whether that still holds
 * @parts_only: it is cold, and this host may send it no request now; parts of
 *   prompts that others decode are none
 * @prefill_room_us: prefill that the next pass can take without exceeding a
 *   stream's gap limit
 */
typedef struct {
    cq_upstream_t *engine;
    cq_pass_t pass;
    gint64 decode_us;
    gint64 wait_us;
    gboolean recheck_due;
    gboolean parts_only;
    gint64 prefill_room_us;
} cq_candidate_t;

/**
 * struct cq_candidate_list_t - candidates
 * @items: the candidates
 * @len: number of @items
 */
typedef struct {
    cq_candidate_t items[2 * CQ_UPSTREAM_SUBSET_MAX];
    guint len;
} cq_candidate_list_t;

/** cq_candidate_first_token_us() - Return: time until the first token of a
 * request if the engine prefills a part of it that takes @part_us */
gint64
cq_candidate_first_token_us(const cq_candidate_t *candidate, gint64 part_us);

/** cq_candidate_add_all() - add the usable engines of @upstreams */
void
cq_candidate_add_all(const cq_core_t *core, const cq_request_t *request,
                     const GPtrArray *upstreams,
                     cq_candidate_list_t *candidates);

/** cq_candidate_add_offered() - in cells, add the idle engines that other
 * zones offer; Return: whether there are any */
gboolean
cq_candidate_add_offered(const cq_core_t *core, const cq_request_t *request,
                         cq_candidate_list_t *candidates);

G_END_DECLS

#endif
