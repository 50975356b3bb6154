/**
 * DOC: standin
 *
 * Small stand-ins for the outside systems: a model engine, a plain service,
 * the platform's log and its host list. Each is one mode of one program.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

/**
 * struct standin_options_t - command line
 * @listen_addr: `ip:port`
 * @name: name of an upstream
 * @prefill_tokens_per_s: engine: prefill rate
 * @step_ms: engine: time between tokens
 * @kv_tokens: engine: memory
 * @retain: log: records kept
 * @url: load: what to call
 * @calls: load: how often
 * @parallel: load: calls at a time
 */
typedef struct {
    char *listen_addr;
    char *name;
    int prefill_tokens_per_s;
    int step_ms;
    int kv_tokens;
    int retain;
    char *url;
    int calls;
    int parallel;
} standin_options_t;

/** standin_reply() - answer with JSON; takes @text */
void
standin_reply(SoupServerMessage *message, guint status, char *text);

/** standin_fault() - Return: fault @name, 0 when it was never set */
int
standin_fault(const char *name);

/** standin_fault_take() - Return: whether fault @name was above 0; lowers it
 * by one */
gboolean
standin_fault_take(const char *name);

/** standin_close() - close the caller's connection without an answer */
void
standin_close(SoupServerMessage *message);

/** standin_body() - Return: the request's body as text; free with g_free() */
char *
standin_body(SoupServerMessage *message);

/** standin_json() - Return: the request's body, or NULL when it is no JSON */
JsonNode *
standin_json(SoupServerMessage *message);

/** standin_engine() - serve as an engine */
void
standin_engine(SoupServer *server, const standin_options_t *options);

/** standin_plain() - serve as a plain service */
void
standin_plain(SoupServer *server, const standin_options_t *options);

/** standin_log() - serve as the platform's log */
void
standin_log(SoupServer *server, const standin_options_t *options);

/** standin_hosts() - serve as the platform's host list */
void
standin_hosts(SoupServer *server, const standin_options_t *options);

/** standin_load() - call an address and print how long it took; Return: 0
 * when every call was answered 200 */
int
standin_load(const standin_options_t *options);

#endif
