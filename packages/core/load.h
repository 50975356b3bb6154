/**
 * DOC: load
 *
 * The ledger of work on each engine: what this process placed there, what
 * its peers say that they placed, and, while peers are not heard, the
 * engine's own lagging report.
 */
#ifndef CQ_LOAD_H
#define CQ_LOAD_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_load_decode_step_us() - Return: expected time of a decode step with
 * @streams */
gint64
cq_load_decode_step_us(gint64 streams);

/** cq_load_prefill_us() - Return: time to compute @tokens on one engine */
gint64
cq_load_prefill_us(const cq_service_t *service, gint64 tokens);

/** cq_load_learn_output() - an answer of @service had @tokens tokens */
void
cq_load_learn_output(cq_service_t *service, gint64 tokens);

/** cq_load_output() - Return: tokens that the answer of @request hardly
 * exceeds: a quantile learned by stochastic approximation (Robbins and Monro,
 * 1951). Short answers end first in a burst; as it falls slowly, they do not
 * pull it down */
gint64
cq_load_output(const cq_request_t *request);

/** cq_load_prompt_us() - Return: time to compute the prompt of @request on
 * the engines that hold it */
gint64
cq_load_prompt_us(const cq_request_t *request);

/** cq_load_run_us() - Return: time that @request hardly exceeds on busy
 * engines */
gint64
cq_load_run_us(const cq_request_t *request);

/** cq_load_least_us() - Return: time that @request takes at the very least;
 * an answer's length that the caller does not tell counts nothing */
gint64
cq_load_least_us(const cq_request_t *request);

/** cq_load_wait_us() - Return: prefill work ahead of a new request of @klass
 */
gint64
cq_load_wait_us(const cq_upstream_t *upstream, cq_class_t klass,
                gint64 now_us);

/** cq_load_blind() - Return: whether a peer that should be heard is not */
gboolean
cq_load_blind(const cq_core_t *core);

/** cq_load_streams() - Return: streams believed to be on @upstream */
gint64
cq_load_streams(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_load_kv() - Return: memory believed to be in use, in tokens */
gint64
cq_load_kv(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_load_hold() - add @kv tokens of memory to this process's share */
void
cq_load_hold(cq_core_t *core, cq_upstream_t *upstream, gint64 kv);

/** cq_load_charge() - enter the running attempt of @request */
void
cq_load_charge(cq_core_t *core, cq_request_t *request, gint64 prefill_us,
               gint64 kv);

/** cq_load_first_token() - prefill of @request is done: correct the ledger */
void
cq_load_first_token(cq_core_t *core, cq_request_t *request);

/** cq_load_release() - take the running attempt of @request out again */
void
cq_load_release(cq_core_t *core, cq_request_t *request);

/** cq_load_report() - take an engine's load report */
void
cq_load_report(cq_core_t *core, const cq_ev_load_t *report);

/** cq_load_peer() - take one peer entry, @before being the last one or NULL
 */
void
cq_load_peer(cq_core_t *core, const cq_share_t *share,
             const cq_share_t *before);

/** cq_load_forget_peer() - take out what a silent peer had placed */
void
cq_load_forget_peer(cq_core_t *core, cq_peer_t *peer);

/** cq_load_cached() - Return: tokens of @request's prompt that @upstream is
 * believed to have cached */
gint64
cq_load_cached(const cq_upstream_t *upstream, const cq_request_t *request);

/** cq_load_believe() - note that @upstream gets the prefixes of @request */
void
cq_load_believe(cq_core_t *core, cq_upstream_t *upstream,
                const cq_request_t *request);

/** cq_load_cache() - take an engine's cache event */
void
cq_load_cache(cq_core_t *core, const cq_ev_cache_t *event);

G_END_DECLS

#endif
