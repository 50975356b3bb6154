/**
 * DOC: load
 *
 * The load ledger: an account of the work on each engine. It adds up what this
 * process placed there and what the summaries of its peers state. While the
 * summaries of some peer are missing, it also uses the engine's own load
 * report, which is older.
 */
#ifndef CQ_LOAD_H
#define CQ_LOAD_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_load_decode_step_us() - Return: expected time of a decode step of an
 * engine that has @streams streams */
gint64
cq_load_decode_step_us(gint64 streams);

/** cq_load_prefill_us() - Return: prefill time of @tokens on one engine */
gint64
cq_load_prefill_us(const cq_service_t *service, gint64 tokens);

/** cq_load_learn_output() - note that an answer of @service had @tokens
 * tokens */
void
cq_load_learn_output(cq_service_t *service, gint64 tokens);

/** cq_load_output_tokens() - Return: tokens that the answer of @request hardly
 * exceeds: a high quantile of the observed lengths, learned by stochastic
 * approximation (Robbins and Monro, 1951). In a burst, short answers end
 * first; the estimate falls much more slowly than it rises, so they do not
 * lower it much */
gint64
cq_load_output_tokens(const cq_request_t *request);

/** cq_load_prompt_us() - Return: prefill time of @request, divided among the
 * least number of engines that can hold it or, in a BATCH service, among
 * CQ_PREFILL_GROUP_MAX engines */
gint64
cq_load_prompt_us(const cq_request_t *request);

/** cq_load_run_busy_us() - Return: run time that @request rarely exceeds on
 * engines with all streams in use; 0 for a plain call */
gint64
cq_load_run_busy_us(const cq_request_t *request);

/** cq_load_run_min_us() - Return: the least run time of @request, on an idle
 * engine; decoding counts only if the caller states the length of the answer;
 * 0 for a plain call */
gint64
cq_load_run_min_us(const cq_request_t *request);

/** cq_load_prefill_wait_us() - Return: prefill time on @upstream ahead of a
 * new request of @klass */
gint64
cq_load_prefill_wait_us(const cq_upstream_t *upstream, cq_class_t klass,
                        gint64 now_us);

/** cq_load_peer_missing() - Return: whether fewer peers send summaries than
 * this host should have links to; the ledger then misses work */
gboolean
cq_load_peer_missing(const cq_core_t *core);

/** cq_load_streams() - Return: streams on @upstream according to the ledger */
gint64
cq_load_streams(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_load_kv() - Return: memory in use on @upstream in tokens, according to
 * the ledger */
gint64
cq_load_kv(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_load_add_kv() - add @kv tokens of memory, which may be negative, to this
 * process's part of the load of @upstream */
void
cq_load_add_kv(cq_core_t *core, cq_upstream_t *upstream, gint64 kv);

/** cq_load_add_attempt() - enter the running attempt of @request: @prefill_us
 * of prefill and @kv tokens of memory at its upstream */
void
cq_load_add_attempt(cq_core_t *core, cq_request_t *request, gint64 prefill_us,
                    gint64 kv);

/** cq_load_first_token() - note that prefill of @request is done: only prefill
 * that was placed later is left at its upstream */
void
cq_load_first_token(cq_core_t *core, cq_request_t *request);

/** cq_load_remove_attempt() - remove the running attempt of @request, if any,
 * from the ledger, and close its task */
void
cq_load_remove_attempt(cq_core_t *core, cq_request_t *request);

/** cq_load_apply_report() - apply an engine's load report */
void
cq_load_apply_report(cq_core_t *core, const cq_ev_load_t *report);

/** cq_load_apply_share() - apply a peer's share of an engine; @before is its
 * last one, or NULL */
void
cq_load_apply_share(cq_core_t *core, const cq_share_t *share,
                    const cq_share_t *before);

/** cq_load_remove_peer() - remove the shares of a peer whose summaries stopped
 * or that restarted */
void
cq_load_remove_peer(cq_core_t *core, cq_peer_t *peer);

/** cq_load_cached_tokens() - Return: tokens of the prompt of @request that
 * @upstream is assumed to have cached */
gint64
cq_load_cached_tokens(const cq_upstream_t *upstream,
                      const cq_request_t *request);

/** cq_load_note_prefixes() - note that @upstream caches the prefixes of
 * @request from now on */
void
cq_load_note_prefixes(cq_core_t *core, cq_upstream_t *upstream,
                      const cq_request_t *request);

/** cq_load_apply_cache_event() - apply an engine's cache event */
void
cq_load_apply_cache_event(cq_core_t *core, const cq_ev_cache_t *event);

G_END_DECLS

#endif
