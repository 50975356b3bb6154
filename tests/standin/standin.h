/**
 * DOC: standin
 *
 * Test program `standin`: small replacements for the systems that Cuminquay
 * talks to (a model engine, a plain service, the platform's log and its host
 * list) and a load generator. The first argument selects the mode. In each
 * server mode, POST /fault?NAME=N sets the fault NAME, a number that the
 * mode's handlers read.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

/**
 * struct standin_options_t - command line
 * @listen_addr: `ip:port` to serve at
 * @name: accepted and not used
 * @prefill_tokens_per_s: engine: prefill rate
 * @step_ms: engine: time between tokens
 * @kv_tokens: engine: size of the KV cache
 * @retain: log: number of records kept; older ones are removed
 * @url: load: URL to call
 * @calls: load: number of calls
 * @parallel: load: calls in flight at a time
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

/** standin_reply() - answer with the JSON @text; takes ownership of @text */
void
standin_reply(SoupServerMessage *message, guint status, char *text);

/** standin_fault() - Return: value of fault @name, 0 if it was never set */
int
standin_fault(const char *name);

/** standin_fault_consume() - decrement fault @name if it is above 0; Return:
 * whether it was */
gboolean
standin_fault_consume(const char *name);

/** standin_close() - close the caller's connection without an answer */
void
standin_close(SoupServerMessage *message);

/** standin_body() - Return: the request's body as text; free with g_free() */
char *
standin_body(SoupServerMessage *message);

/** standin_json() - Return: the request's body, to be freed with
 * json_node_unref(); NULL when it is not JSON */
JsonNode *
standin_json(SoupServerMessage *message);

/** standin_engine() - add the handlers of a model engine */
void
standin_engine(SoupServer *server, const standin_options_t *options);

/** standin_plain() - add the handlers of a plain service */
void
standin_plain(SoupServer *server, const standin_options_t *options);

/** standin_log() - add the handlers of the platform's log */
void
standin_log(SoupServer *server, const standin_options_t *options);

/** standin_hosts() - add the handlers of the platform's host list */
void
standin_hosts(SoupServer *server, const standin_options_t *options);

/** standin_load() - make @calls calls of @url and print rate and latency;
 * Return: exit code, 0 when every call was answered 200 */
int
standin_load(const standin_options_t *options);

#endif
