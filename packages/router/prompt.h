/**
 * DOC: prompt
 *
 * Parses the JSON body of a model call (model, prompt length, prompt prefixes)
 * and makes the body that is sent to the engine.
 */
#ifndef CQ_PROMPT_H
#define CQ_PROMPT_H

#include "base/error.h"
#include "core/event.h"

G_BEGIN_DECLS

/**
 * struct cq_prompt_t - what a request's body contains
 * @model: the model
 * @stream: whether the caller wants a stream
 * @chat: whether it is a chat completion
 * @tokens: prompt length, estimated at CQ_BYTES_PER_TOKEN bytes a token
 * @output_tokens: max_tokens, or 0 if it is not given
 * @prefixes: hashes of the prompt's prefixes, shortest first, each four times
 *   as long as the one before
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

/** cq_prompt_read() - parse @body; Return: FALSE and @error if it is invalid
 */
gboolean
cq_prompt_read(GBytes *body, gboolean chat, cq_prompt_t *prompt,
               cq_error_t *error);

/** cq_prompt_for_engine() - Return: a copy of @body with `"stream":true`;
 * @body must be a valid JSON object */
GBytes *
cq_prompt_for_engine(GBytes *body);

/* Room for the ids of the parts of a prompt in a log line. */
#define CQ_PROMPT_PARTS_BYTES (CQ_PROMPT_PARTS_MAX * 17 + 1)

/** cq_prompt_format_parts() - write the ids of the parts to @to, separated by
 * commas */
void
cq_prompt_format_parts(const cq_parts_t *parts, char *to, gsize size);

G_END_DECLS

#endif
