#include "core/candidate.h"

#include "core/batchcost.h"
#include "core/lending.h"
#include "core/place.h"
#include "core/rate.h"
#include "core/usable.h"

static void
assess_engine(const cq_core_t *core, const cq_request_t *request,
              cq_upstream_t *engine, cq_candidate_t *candidate)
{
    const cq_engine_speed_t *speed = &request->service->rules->speed;
    *candidate =
        (cq_candidate_t){.engine = engine, .prefill_room_us = G_MAXINT64};
    candidate->recheck_due = cq_rate_recheck_due(core, engine);
    cq_pass_t *pass = &candidate->pass;
    cq_pass_estimate(core, engine, pass);
    candidate->decode_us =
        cq_batchcost_decode_us(speed, pass->streams + 1,
                               pass->context_tokens + request->prompt_tokens);
    candidate->wait_us =
        pass->remaining_us + (pass->decoding ? pass->queued_us : 0);
    if (pass->gap_max_us != G_MAXINT64) {
        gint64 pass_us = pass->gap_max_us * CQ_PASS_GAP_PERCENT / 100;
        candidate->prefill_room_us =
            pass_us - candidate->decode_us - pass->queued_us;
    }
}

gint64
cq_candidate_first_token_us(const cq_candidate_t *candidate, gint64 part_us)
{
    gint64 decode_us = candidate->pass.streams > 0 ? candidate->decode_us : 0;
    return candidate->wait_us + part_us + decode_us;
}

void
cq_candidate_add_all(const cq_core_t *core, const cq_request_t *request,
                     const GPtrArray *upstreams,
                     cq_candidate_list_t *candidates)
{
    for (guint i = 0; i < upstreams->len; i++) {
        cq_upstream_t *engine = g_ptr_array_index(upstreams, i);
        gboolean may_decode = cq_rate_allows(core, engine);
        if (!cq_usable_now(core, engine) ||
            (!may_decode && engine->rate.limited) ||
            engine->id == request->last_failed ||
            engine == request->upstream) {
            continue;
        }
        cq_candidate_t *candidate = &candidates->items[candidates->len++];
        assess_engine(core, request, engine, candidate);
        candidate->parts_only = !may_decode;
    }
}

gboolean
cq_candidate_add_offered(const cq_core_t *core, const cq_request_t *request,
                         cq_candidate_list_t *candidates)
{
    const GPtrArray *guests = request->service->guests;
    guint len = candidates->len;
    for (guint i = 0; i < guests->len; i++) {
        cq_upstream_t *engine = g_ptr_array_index(guests, i);
        if (cq_lending_is_offered(core, engine) &&
            cq_usable_now(core, engine) && !cq_rate_is_bounded(engine) &&
            engine->id != request->last_failed &&
            engine != request->upstream) {
            assess_engine(core, request, engine,
                          &candidates->items[candidates->len++]);
        }
    }
    return candidates->len > len;
}
