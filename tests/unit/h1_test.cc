// The HTTP/1.1 parser on valid, malformed and incomplete messages of callers
// and upstreams.
#include <gtest/gtest.h>

#include <string>

#include "http/h1.h"

namespace {

// What the parser has passed to its callbacks.
struct parsed_t {
    std::string heads;
    std::string body;
    int done = 0;
    bool keep_alive = false;
    bool has_framing = false;
};

void
on_head(void *data, const cq_h1_head_t *head)
{
    parsed_t *parsed = (parsed_t *)data;
    parsed->heads += head->status != 0
                         ? std::to_string(head->status)
                         : std::string(head->method) + " " + head->target;
    parsed->heads += ";";
    parsed->keep_alive = head->keep_alive;
    parsed->has_framing = head->has_framing;
}

void
on_body(void *data, const char *bytes, gsize len)
{
    ((parsed_t *)data)->body.append(bytes, len);
}

void
on_done(void *data)
{
    ((parsed_t *)data)->done++;
}

class H1 : public ::testing::Test {
  protected:
    void
    open(gboolean are_responses, gsize max = 0)
    {
        cq_h1_options_t options = {};
        options.parse_responses = are_responses;
        options.head_bytes_max = max;
        options.ops = {on_head, on_body, on_done, &parsed};
        reader = cq_h1_new(&options);
    }
    gsize
    feed(const std::string &text)
    {
        return cq_h1_feed(reader, text.data(), text.size());
    }
    void
    TearDown() override
    {
        cq_h1_free(reader);
    }
    parsed_t parsed;
    cq_h1_t *reader = nullptr;
};

TEST_F(H1, StopsRightAfterEachRequest)
{
    open(FALSE);
    std::string first = "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    std::string second = "GET /b HTTP/1.1\r\n\r\n";
    EXPECT_EQ(feed(first + second), first.size());
    EXPECT_EQ(parsed.done, 1);
    EXPECT_EQ(feed(second), second.size());
    EXPECT_EQ(parsed.heads, "POST /a;GET /b;");
    EXPECT_EQ(parsed.body, "abc");
    EXPECT_EQ(parsed.done, 2);
}

TEST_F(H1, ParsesBytesOneByOne)
{
    open(FALSE);
    for (char c :
         std::string("POST /a HTTP/1.1\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")) {
        feed(std::string(1, c));
    }
    EXPECT_EQ(parsed.body, "abc");
    EXPECT_EQ(parsed.done, 1);
    EXPECT_FALSE(cq_h1_in_message(reader));
}

TEST_F(H1, DifferentContentLengthsAreAnError)
{
    open(FALSE);
    feed("POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\n"
         "abc");
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_SYNTAX);
    EXPECT_EQ(parsed.done, 0);
}

TEST_F(H1, ContentLengthWithChunksIsAnError)
{
    open(FALSE);
    feed("POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n");
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_SYNTAX);
    EXPECT_EQ(parsed.done, 0);
}

TEST_F(H1, MalformedChunkIsAnError)
{
    open(FALSE);
    feed("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n");
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_SYNTAX);
}

TEST_F(H1, LimitsAHeadThatComesInPieces)
{
    open(FALSE, 1000);
    feed("GET /a HTTP/1.1\r\nX: ");
    for (int i = 0; i < 20; i++) {
        feed(std::string(100, 'x'));
    }
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_HEAD_TOO_LONG);
}

TEST_F(H1, LimitsAHeadThatComesAtOnce)
{
    open(FALSE, 1000);
    feed("GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_HEAD_TOO_LONG);
    EXPECT_EQ(parsed.done, 0);
}

TEST_F(H1, BodyDoesNotCountAsHead)
{
    open(FALSE, 1000);
    feed("POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
    for (int i = 0; i < 50; i++) {
        feed(std::string(100, 'x'));
    }
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_OK);
    EXPECT_EQ(parsed.done, 1);
}

TEST_F(H1, ResponseWithoutLengthEndsWithItsConnection)
{
    open(TRUE);
    feed("HTTP/1.1 200 OK\r\n\r\nabc");
    EXPECT_EQ(parsed.done, 0);
    EXPECT_FALSE(parsed.has_framing);
    EXPECT_TRUE(cq_h1_connection_closed(reader));
    EXPECT_EQ(parsed.done, 1);
}

TEST_F(H1, ResponseCutInItsBodyIsIncomplete)
{
    open(TRUE);
    feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    EXPECT_FALSE(cq_h1_connection_closed(reader));
    EXPECT_EQ(parsed.done, 0);
}

TEST_F(H1, ResponseCutInAChunkIsIncomplete)
{
    open(TRUE);
    feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc");
    EXPECT_FALSE(cq_h1_connection_closed(reader));
    EXPECT_EQ(parsed.done, 0);
}

TEST_F(H1, LeavesBytesAfterAResponse)
{
    open(TRUE);
    std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    EXPECT_EQ(feed(first + "HTTP/1.1 500 X\r\n\r\n"), first.size());
    EXPECT_EQ(parsed.done, 1);
}

TEST_F(H1, SkipsInterimResponses)
{
    open(TRUE);
    feed("HTTP/1.1 100 Continue\r\n\r\n");
    feed("HTTP/1.1 204 No Content\r\n\r\n");
    EXPECT_EQ(parsed.heads, "204;");
    EXPECT_EQ(parsed.done, 1);
}

TEST_F(H1, ResponseToHeadHasNoBody)
{
    open(TRUE);
    cq_h1_set_request_method(reader, "HEAD");
    feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    EXPECT_EQ(parsed.done, 1);
}

TEST_F(H1, ConnectionCloseEndsKeepAlive)
{
    open(TRUE);
    feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: "
         "close\r\n\r\n");
    EXPECT_FALSE(parsed.keep_alive);
    EXPECT_EQ(parsed.done, 1);
}

void
check_hop_by_hop(void *data, const cq_h1_head_t *head)
{
    (void)data;
    EXPECT_TRUE(cq_h1_is_hop_by_hop(head, "connection"));
    EXPECT_TRUE(cq_h1_is_hop_by_hop(head, "Keep-Alive"));
    EXPECT_TRUE(cq_h1_is_hop_by_hop(head, "X-One"));
    EXPECT_FALSE(cq_h1_is_hop_by_hop(head, "X-On"));
    EXPECT_FALSE(cq_h1_is_hop_by_hop(head, "X-Two"));
    EXPECT_STREQ(cq_h1_get_field(head, "x-two"), "b");
    EXPECT_EQ(cq_h1_get_field(head, "x-three"), nullptr);
    cq_h1_head_t copy;
    cq_h1_copy_head(&copy, head);
    EXPECT_STREQ(cq_h1_get_field(&copy, "X-Two"), "b");
    EXPECT_STREQ(copy.target, "/a?q");
    cq_h1_clear_head(&copy);
}

TEST_F(H1, RecognizesHopByHopFields)
{
    cq_h1_options_t options = {};
    options.ops = {check_hop_by_hop, on_body, on_done, &parsed};
    reader = cq_h1_new(&options);
    feed("GET /a?q HTTP/1.1\r\nConnection: keep-alive, x-one\r\nX-One: "
         "a\r\nX-Two:   b  \r\n\r\n");
    EXPECT_EQ(parsed.done, 1);
}

} // namespace
