#include "router/http.h"

#include "base/limits.h"
#include "config/json.h"

#define CONNECTIONS_MAX 4096

typedef struct {
    SoupMessage *message;
    GCancellable *cancellable;
    guint timer;
    cq_http_done_t done;
    void *data;
} call_t;

static void
on_answer(GObject *source, GAsyncResult *result, gpointer data)
{
    call_t *call = data;
    SoupSession *session = SOUP_SESSION(source);
    GBytes *body = soup_session_send_and_read_finish(session, result, NULL);
    int status = 0;
    if (body != NULL) {
        status = (int)soup_message_get_status(call->message);
    }
    if (call->timer != 0) {
        g_source_remove(call->timer);
    }
    if (call->done != NULL) {
        call->done(status, body, call->data);
    }
    g_clear_pointer(&body, g_bytes_unref);
    g_object_unref(call->message);
    g_object_unref(call->cancellable);
    g_free(call);
}

static gboolean
on_timeout(gpointer data)
{
    call_t *call = data;
    call->timer = 0;
    g_cancellable_cancel(call->cancellable);
    return G_SOURCE_REMOVE;
}

static GSocketAddress *
socket_address(const char *addr)
{
    GSocketConnectable *parsed = g_network_address_parse(addr, 0, NULL);
    if (parsed == NULL) {
        return NULL;
    }
    GNetworkAddress *network = G_NETWORK_ADDRESS(parsed);
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        g_network_address_get_hostname(network),
        g_network_address_get_port(network));
    g_object_unref(parsed);
    return address;
}

gboolean
cq_http_listen(SoupServer *server, const char *key, const char *addr,
               cq_error_t *error)
{
    GSocketAddress *address = socket_address(addr);
    GError *cause = NULL;
    gboolean listening =
        address != NULL && soup_server_listen(server, address, 0, &cause);
    if (!listening) {
        cq_error_set(error, CQ_ERROR_UNREACHABLE,
                     "%s: %s is not free (%s); write another address or "
                     "stop the process that has it",
                     key, addr,
                     cause != NULL ? cause->message : "not an address");
    }
    g_clear_error(&cause);
    g_clear_object(&address);
    return listening;
}

JsonObject *
cq_http_parse_object(JsonParser *parser, GBytes *body, cq_error_t *error)
{
    gsize len;
    const char *text = g_bytes_get_data(body, &len);
    return cq_json_parse_object(parser, text, len, error);
}

SoupSession *
cq_http_new_session(void)
{
    return soup_session_new_with_options(
        "max-conns", CONNECTIONS_MAX, "max-conns-per-host", CONNECTIONS_MAX,
        "timeout", 0, "idle-timeout", 30, NULL);
}

void
cq_http_call(SoupSession *session, const char *method, const char *url,
             GBytes *body, guint timeout_ms, cq_http_done_t done, void *data)
{
    SoupMessage *message = soup_message_new(method, url);
    if (message == NULL) {
        if (done != NULL) {
            done(0, NULL, data);
        }
        return;
    }
    if (body != NULL) {
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 body);
    }
    call_t *call = g_new0(call_t, 1);
    call->message = message;
    call->cancellable = g_cancellable_new();
    call->timer = g_timeout_add(timeout_ms, on_timeout, call);
    call->done = done;
    call->data = data;
    soup_session_send_and_read_async(session, message, G_PRIORITY_DEFAULT,
                                     call->cancellable, on_answer, call);
}
