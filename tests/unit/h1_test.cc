// HTTP/1.1 messages as callers and upstreams send them, proper and not.
#include <gtest/gtest.h>

#include <string>

#include "http/h1.h"

namespace {

// What a reader has told.
struct heard_t {
    std::string heads;
    std::string body;
    int done = 0;
    bool keep = false;
    bool sized = false;
};

void
on_head(void *data, const cq_h1_head_t *head)
{
    heard_t *heard = (heard_t *)data;
    heard->heads += head->status != 0
                        ? std::to_string(head->status)
                        : std::string(head->method) + " " + head->target;
    heard->heads += ";";
    heard->keep = head->keep;
    heard->sized = head->sized;
}

void
on_body(void *data, const char *bytes, gsize len)
{
    ((heard_t *)data)->body.append(bytes, len);
}

void
on_done(void *data)
{
    ((heard_t *)data)->done++;
}

class H1 : public ::testing::Test {
  protected:
    void
    open(gboolean answers, gsize most = 0)
    {
        cq_h1_options_t options = {};
        options.answers = answers;
        options.head_bytes_max = most;
        options.ops = {on_head, on_body, on_done, &heard};
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
    heard_t heard;
    cq_h1_t *reader = nullptr;
};

TEST_F(H1, StopsRightAfterEachRequest)
{
    open(FALSE);
    std::string one = "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    std::string two = "GET /b HTTP/1.1\r\n\r\n";
    EXPECT_EQ(feed(one + two), one.size());
    EXPECT_EQ(heard.done, 1);
    EXPECT_EQ(feed(two), two.size());
    EXPECT_EQ(heard.heads, "POST /a;GET /b;");
    EXPECT_EQ(heard.body, "abc");
    EXPECT_EQ(heard.done, 2);
}

TEST_F(H1, TakesBytesOneByOne)
{
    open(FALSE);
    for (char c :
         std::string("POST /a HTTP/1.1\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")) {
        feed(std::string(1, c));
    }
    EXPECT_EQ(heard.body, "abc");
    EXPECT_EQ(heard.done, 1);
    EXPECT_FALSE(cq_h1_in_message(reader));
}

TEST_F(H1, LengthsThatDifferAreAFault)
{
    open(FALSE);
    feed("POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 9\r\n\r\n"
         "abc");
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_SYNTAX);
    EXPECT_EQ(heard.done, 0);
}

TEST_F(H1, LengthAndChunksTogetherAreAFault)
{
    open(FALSE);
    feed("POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n");
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_SYNTAX);
    EXPECT_EQ(heard.done, 0);
}

TEST_F(H1, BrokenChunksAreAFault)
{
    open(FALSE);
    feed("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n");
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_SYNTAX);
}

TEST_F(H1, AHeadMayNotBeEndless)
{
    open(FALSE, 1000);
    feed("GET /a HTTP/1.1\r\nX: ");
    for (int i = 0; i < 20; i++) {
        feed(std::string(100, 'x'));
    }
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_HEAD_TOO_LONG);
}

TEST_F(H1, AHeadThatComesAtOnceIsCountedToo)
{
    open(FALSE, 1000);
    feed("GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_HEAD_TOO_LONG);
    EXPECT_EQ(heard.done, 0);
}

TEST_F(H1, ALongBodyDoesNotCountAsHead)
{
    open(FALSE, 1000);
    feed("POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
    for (int i = 0; i < 50; i++) {
        feed(std::string(100, 'x'));
    }
    EXPECT_EQ(cq_h1_error(reader), CQ_H1_OK);
    EXPECT_EQ(heard.done, 1);
}

TEST_F(H1, AnAnswerWithoutLengthEndsWithItsConnection)
{
    open(TRUE);
    feed("HTTP/1.1 200 OK\r\n\r\nabc");
    EXPECT_EQ(heard.done, 0);
    EXPECT_FALSE(heard.sized);
    EXPECT_TRUE(cq_h1_connection_closed(reader));
    EXPECT_EQ(heard.done, 1);
}

TEST_F(H1, ATornAnswerIsNotWhole)
{
    open(TRUE);
    feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    EXPECT_FALSE(cq_h1_connection_closed(reader));
    EXPECT_EQ(heard.done, 0);
}

TEST_F(H1, ATornChunkIsNotWhole)
{
    open(TRUE);
    feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc");
    EXPECT_FALSE(cq_h1_connection_closed(reader));
    EXPECT_EQ(heard.done, 0);
}

TEST_F(H1, BytesAfterAnAnswerAreLeft)
{
    open(TRUE);
    std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    EXPECT_EQ(feed(one + "HTTP/1.1 500 X\r\n\r\n"), one.size());
    EXPECT_EQ(heard.done, 1);
}

TEST_F(H1, InterimAnswersAreSkipped)
{
    open(TRUE);
    feed("HTTP/1.1 100 Continue\r\n\r\n");
    feed("HTTP/1.1 204 No Content\r\n\r\n");
    EXPECT_EQ(heard.heads, "204;");
    EXPECT_EQ(heard.done, 1);
}

TEST_F(H1, TheAnswerToAHeadHasNoBody)
{
    open(TRUE);
    cq_h1_set_request_method(reader, "HEAD");
    feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    EXPECT_EQ(heard.done, 1);
}

TEST_F(H1, ClosingIsSeen)
{
    open(TRUE);
    feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: "
         "close\r\n\r\n");
    EXPECT_FALSE(heard.keep);
    EXPECT_EQ(heard.done, 1);
}

void
check_hops(void *data, const cq_h1_head_t *head)
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

TEST_F(H1, FieldsOfOneConnectionAreTold)
{
    cq_h1_options_t options = {};
    options.ops = {check_hops, on_body, on_done, &heard};
    reader = cq_h1_new(&options);
    feed("GET /a?q HTTP/1.1\r\nConnection: keep-alive, x-one\r\nX-One: "
         "a\r\nX-Two:   b  \r\n\r\n");
    EXPECT_EQ(heard.done, 1);
}

} // namespace
