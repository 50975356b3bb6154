/**
 * DOC: prompt
 *
 * Reads a model call's JSON body: model, prompt length, prefixes; and
 * prepares the body that goes to the engine.
 */
#ifndef CQ_PROMPT_H
#define CQ_PROMPT_H

#include "base/error.h"
#include "core/event.h"

G_BEGIN_DECLS

/**
 * struct cq_prompt_t - what a body says
 * @model: the model
 * @stream: whether the caller wants a stream
 * @chat: whether it is a chat completion
 * @tokens: estimated prompt length, CQ_BYTES_PER_TOKEN bytes a token
 * @output_tokens: max_tokens, or 0
 * @prefixes: hashes of ascending prefixes
 * @prefixes_len: number of @prefixes
 */
typedef struct {
    char model[CQ_NAME_BYTES];
    gboolean stream;
    gboolean chat;
    gint64 tokens;
    gint64 output_tokens;
    cq_prefix_t prefixes[CQ_PREFIX_LEVELS];
    guint prefixes_len;
} cq_prompt_t;

/** cq_prompt_read() - read @body; FALSE and @error when it is not right */
gboolean
cq_prompt_read(GBytes *body, gboolean chat, cq_prompt_t *prompt,
               cq_error_t *error);

/** cq_prompt_for_engine() - Return: @body with streaming asked for */
GBytes *
cq_prompt_for_engine(GBytes *body);

G_END_DECLS

#endif
