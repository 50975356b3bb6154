#include "router/http.h"

#include "base/limits.h"
#include "config/json.h"

#define CONNECTIONS_MAX 4096

/* Bytes of a body that are read at a time. */
#define READ_BYTES (32 * 1024)

typedef struct {
    SoupMessage *message;
    GCancellable *cancellable;
    GInputStream *stream;
    GByteArray *body;
    gsize body_bytes_max;
    guint timer;
    cq_http_done_t done;
    void *data;
} call_t;

/* Ends @call; without @complete, it has no answer. */
static void
end_call(call_t *call, gboolean complete)
{
    GBytes *body = g_byte_array_free_to_bytes(call->body);
    if (call->timer != 0) {
        g_source_remove(call->timer);
    }
    if (call->done != NULL && complete) {
        int status = (int)soup_message_get_status(call->message);
        call->done(status, body, call->data);
    }
    else if (call->done != NULL) {
        call->done(0, NULL, call->data);
    }
    g_bytes_unref(body);
    g_clear_object(&call->stream);
    g_object_unref(call->message);
    g_object_unref(call->cancellable);
    g_free(call);
}

static void
read_more(call_t *call);

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
    call_t *call = data;
    GBytes *bytes =
        g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, NULL);
    gsize len = bytes != NULL ? g_bytes_get_size(bytes) : 0;
    gboolean fits = call->body->len + len <= call->body_bytes_max;
    if (len > 0 && fits) {
        g_byte_array_append(call->body, g_bytes_get_data(bytes, NULL),
                            (guint)len);
        read_more(call);
    }
    else {
        end_call(call, bytes != NULL && fits);
    }
    g_clear_pointer(&bytes, g_bytes_unref);
}

static void
read_more(call_t *call)
{
    g_input_stream_read_bytes_async(call->stream, READ_BYTES,
                                    G_PRIORITY_DEFAULT, call->cancellable,
                                    on_read, call);
}

static void
on_head(GObject *source, GAsyncResult *result, gpointer data)
{
    call_t *call = data;
    call->stream =
        soup_session_send_finish(SOUP_SESSION(source), result, NULL);
    if (call->stream != NULL) {
        read_more(call);
    }
    else {
        end_call(call, FALSE);
    }
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
cq_http_call(SoupSession *session, const cq_http_call_t *spec)
{
    SoupMessage *message = soup_message_new(spec->method, spec->url);
    if (message == NULL) {
        if (spec->done != NULL) {
            spec->done(0, NULL, spec->data);
        }
        return;
    }
    if (spec->body != NULL) {
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 spec->body);
    }
    call_t *call = g_new0(call_t, 1);
    call->message = message;
    call->cancellable = g_cancellable_new();
    call->body = g_byte_array_new();
    call->body_bytes_max = spec->answer_bytes_max;
    call->timer = g_timeout_add(spec->timeout_ms, on_timeout, call);
    call->done = spec->done;
    call->data = spec->data;
    soup_session_send_async(session, message, G_PRIORITY_DEFAULT,
                            call->cancellable, on_head, call);
}
