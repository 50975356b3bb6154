/**
 * DOC: quarantine
 *
 * Keeps requests from the upstreams under which upstreams crash, because of a
 * part of their prompts or as a whole. An upstream that ends breaks all its
 * requests, so each of those that it had not begun to answer is a suspect, by
 * its fingerprint, and so is each part of its prompt. A suspect is blocked
 * after several crashes without an answer on it in between. Each crash has one
 * cause: what a blocked part explains no longer counts against other parts.
 * Hosts tell each other of crashes, and of answers on suspects.
 *
 * What is said of parts below holds for fingerprints as well, but that each
 * counts all crashes under its request, whatever else explains them.
 *
 * Load: one caller repeats a part a few times a second, at any host; each
 * request takes an upstream with the requests on it, and each retry another.
 *
 * Ids of parts come from callers. A part that crashes of one team's requests
 * accuse is blocked for that team only, so that a team can't have parts of
 * other teams blocked.
 */
#ifndef CQ_QUARANTINE_H
#define CQ_QUARANTINE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_quarantine_new() - Return: a quarantine without parts */
cq_quarantine_t *
cq_quarantine_new(void);

/** cq_quarantine_free() - free it */
void
cq_quarantine_free(cq_quarantine_t *quarantine);

/** cq_quarantine_blocks() - Return: whether @request must not be sent to an
 * upstream because of a part of its prompt */
gboolean
cq_quarantine_blocks(const cq_core_t *core, const cq_request_t *request);

/** cq_quarantine_outcome() - Return: how a blocked @request ends */
cq_outcome_t
cq_quarantine_outcome(const cq_core_t *core, const cq_request_t *request);

/** cq_quarantine_admits_trial() - Return: whether @request is sent although a
 * part of its prompt is blocked, to see whether that still crashes upstreams
 */
gboolean
cq_quarantine_admits_trial(cq_core_t *core, const cq_request_t *request);

/** cq_quarantine_retry_after_us() - Return: time until the part because of
 * which @request is blocked may be tried again */
gint64
cq_quarantine_retry_after_us(const cq_core_t *core,
                             const cq_request_t *request);

/** cq_quarantine_crashed() - the connection of the running attempt of @request
 * ended before the answer did; @on_kept_conn: it was kept from an earlier
 * request */
void
cq_quarantine_crashed(cq_core_t *core, const cq_request_t *request,
                      gboolean on_kept_conn);

/** cq_quarantine_progress() - the running attempt of @request got @events
 * events more, or its whole answer if @done */
void
cq_quarantine_progress(cq_core_t *core, const cq_request_t *request,
                       gint64 events, gboolean done);

/** cq_quarantine_apply() - apply the reports of a peer */
void
cq_quarantine_apply(cq_core_t *core, const cq_ev_parts_t *event);

/** cq_quarantine_retract() - take back all crashes of which this host accused
 * a part or a request at or after @since_us, since a cut of its network ended
 * the connections; its peers are told. For a step of the core */
void
cq_quarantine_retract(cq_core_t *core, gint64 since_us);

/** cq_quarantine_list() - append to @reports, an array of cq_part_report_t,
 * what a new peer needs to know */
void
cq_quarantine_list(const cq_core_t *core, GArray *reports);

/** cq_quarantine_enforce() - end the requests that have become blocked */
void
cq_quarantine_enforce(cq_core_t *core);

/** cq_quarantine_sweep() - delete what has expired */
void
cq_quarantine_sweep(cq_core_t *core);

G_END_DECLS

#endif
