// Messages that two parsers may read differently (RFC 9112, 11.2): of callers,
// and of upstreams.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "http/h1.h"
#include "router/heads.h"

namespace {

// How a message is read, at once and byte by byte.
struct reading_t {
    bool invalid = false;
    int done = 0;
    std::string body;
    std::string fields;
    std::string target;
};

reading_t
read_in_pieces(const std::string &text, gboolean is_response, size_t piece)
{
    reading_t reading;
    cq_h1_options_t options = {};
    options.parse_responses = is_response;
    options.ops.head = [](void *data, const cq_h1_head_t *head) {
        auto *to = static_cast<reading_t *>(data);
        cq_h1_head_t copy = {};
        cq_h1_copy_head(&copy, head);
        if (head->status == 0) {
            cq_heads_to_origin_form(&copy);
            to->target = copy.target;
        }
        for (guint i = 0; i < copy.fields->len; i++) {
            const cq_h1_field_t *field =
                &g_array_index(copy.fields, cq_h1_field_t, i);
            to->fields += std::string(field->name) + "=" + field->value + ";";
        }
        cq_h1_clear_head(&copy);
    };
    options.ops.body = [](void *data, const char *bytes, gsize len) {
        static_cast<reading_t *>(data)->body.append(bytes, len);
    };
    options.ops.done = [](void *data) {
        static_cast<reading_t *>(data)->done++;
    };
    options.ops.data = &reading;
    cq_h1_t *reader = cq_h1_new(&options);
    size_t at = 0;
    while (at < text.size() && cq_h1_error(reader) == CQ_H1_OK) {
        size_t len = std::min(piece, text.size() - at);
        at += cq_h1_feed(reader, text.data() + at, len);
    }
    reading.invalid = cq_h1_error(reader) != CQ_H1_OK;
    cq_h1_free(reader);
    return reading;
}

reading_t
read(const std::string &text, gboolean is_response = FALSE)
{
    reading_t whole = read_in_pieces(text, is_response, text.size());
    for (size_t piece : {1, 2, 3, 7}) {
        reading_t pieces = read_in_pieces(text, is_response, piece);
        EXPECT_EQ(pieces.invalid, whole.invalid) << piece << text;
        EXPECT_EQ(pieces.done, whole.done) << piece << text;
        EXPECT_EQ(pieces.body, whole.body) << piece << text;
        EXPECT_EQ(pieces.fields, whole.fields) << piece << text;
    }
    return whole;
}

std::string
post(const std::string &fields, const std::string &body = "")
{
    return "POST /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

const std::string kChunks = "3\r\nabc\r\n0\r\n\r\n";

TEST(Smuggling, FieldsOfCallersThatAreReadDifferentlyAreInvalid)
{
    for (const char *fields : {
             "X-A : b\r\n",
             "X-A\t: b\r\n",
             "Cuminquay-Tenant : x\r\n",
             "Content-Length : 3\r\n",
             "Transfer-Encoding : chunked\r\n",
             " X-A: b\r\n",
             "X-A: b\r\n c\r\n",
             "X-A: b\r\n\tc\r\n",
             "X-A:\r\n c\r\n",
             "X-A: b\r\n \r\n",
             "X-A: b\r\n \r\n c\r\n",
             "X-A: b\n c\r\n",
             "Transfer-Encoding: \r\n chunked\r\n",
             "X A: b\r\n",
             "X(A): b\r\n",
             "X\xe4: b\r\n",
             ": b\r\n",
             "X-A\r\n",
             "X-A: b\rc\r\n",
             "X-A: b\r\rX-B: c\r\n",
             "X-A: b\x01\r\n",
             "X-A: b\x7f\r\n",
         }) {
        reading_t reading = read(post(fields, kChunks));
        EXPECT_TRUE(reading.invalid) << fields;
        EXPECT_EQ(reading.done, 0) << fields;
    }
    EXPECT_TRUE(read(post(std::string("X-A: b") + '\0' + "c\r\n")).invalid);
}

TEST(Smuggling, FramingOfCallersThatIsReadDifferentlyIsInvalid)
{
    for (const char *fields : {
             "Transfer-Encoding: gzip\r\n",
             "Transfer-Encoding: identity\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: chunked, gzip\r\n",
             "Transfer-Encoding: chunked, chunked\r\n",
             "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: xchunked\r\n",
             "Transfer-Encoding: chunkedx\r\n",
             "Transfer-Encoding: chunked;q=1\r\n",
             "Transfer-Encoding: \"chunked\"\r\n",
             "Transfer-Encoding: ,chunked\r\n",
             "Transfer-Encoding: \x0b"
             "chunked\r\n",
             "Transfer-Encoding:\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
             "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
             "Content-Length: 3\r\nContent-Length: 3\r\n",
             "Content-Length: 3\r\nContent-Length: 4\r\n",
             "Content-Length: 3, 3\r\n",
             "Content-Length: +3\r\n",
             "Content-Length: -3\r\n",
             "Content-Length: 3 4\r\n",
             "Content-Length: 0x3\r\n",
             "Content-Length: 3.0\r\n",
             "Content-Length: 18446744073709551619\r\n",
             "Content-Length:\r\n",
         }) {
        reading_t reading = read(post(fields, kChunks));
        EXPECT_TRUE(reading.invalid) << fields;
        EXPECT_EQ(reading.done, 0) << fields;
    }
    EXPECT_TRUE(read("POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     kChunks)
                    .invalid);
}

TEST(Smuggling, ChunksThatAreReadDifferentlyAreInvalid)
{
    const std::string head = post("Transfer-Encoding: chunked\r\n");
    for (const char *chunks : {
             "+3\r\nabc\r\n0\r\n\r\n",
             "-3\r\nabc\r\n0\r\n\r\n",
             "0x3\r\nabc\r\n0\r\n\r\n",
             "\r\nabc\r\n0\r\n\r\n",
             " 3\r\nabc\r\n0\r\n\r\n",
             "3\r\nabcd\r\n0\r\n\r\n",
             "3\r\nabc0\r\n\r\n",
             "10000000000000003\r\nabc\r\n0\r\n\r\n",
             "3\rX\nabc\r\n0\r\n\r\n",
         }) {
        reading_t reading = read(head + chunks);
        EXPECT_TRUE(reading.invalid) << chunks;
        EXPECT_EQ(reading.done, 0) << chunks;
    }
}

// What follows is valid, and passed on in this host's own form.
TEST(Smuggling, ValidMessagesAreReadAsTheyAre)
{
    reading_t reading = read(post("X-A:b\r\nX-B: \t c d \t\r\nX-C:\r\n"
                                  "X-D: \xe4\xff\r\n"
                                  "Transfer-Encoding: Chunked\r\n",
                                  "3;a=\"b;\xe4\"\r\nabc\r\n"
                                  "0\r\nX-T: t\r\n\r\n"));
    EXPECT_FALSE(reading.invalid);
    EXPECT_EQ(reading.done, 1);
    EXPECT_EQ(reading.body, "abc");
    EXPECT_EQ(reading.fields, "Host=h;X-A=b;X-B=c d;X-C=;X-D=\xe4\xff;"
                              "Transfer-Encoding=Chunked;");
}

TEST(Smuggling, TheHostOfAWholeUrlGoesBeforeTheHostField)
{
    const struct {
        const char *target;
        const char *path;
        const char *host;
    } cases[] = {
        {"http://u.example/a/b?c", "/a/b?c", "u.example"},
        {"HTTP://u.example:80/", "/", "u.example:80"},
        {"http://u.example", "/", "u.example"},
        {"http://u.example?c", "/?c", "u.example"},
        {"/http://u.example/", "/http://u.example/", "h"},
    };
    for (const auto &c : cases) {
        reading_t reading = read(std::string("GET ") + c.target +
                                 " HTTP/1.1\r\nHost: h\r\n\r\n");
        EXPECT_FALSE(reading.invalid) << c.target;
        EXPECT_EQ(reading.target, c.path);
        EXPECT_EQ(reading.fields, std::string("Host=") + c.host + ";");
    }
}

TEST(Smuggling, BlanksBeforeAColonAreRemovedFromAnswers)
{
    reading_t reading = read("HTTP/1.1 200 OK\r\nX-A  : b\r\n"
                             "Content-Length : 3\r\n\r\nabc",
                             TRUE);
    EXPECT_FALSE(reading.invalid);
    EXPECT_EQ(reading.fields, "X-A=b;Content-Length=3;");
    EXPECT_EQ(reading.body, "abc");
    EXPECT_EQ(reading.done, 1);
}

TEST(Smuggling, AnswersThatAreReadDifferentlyAreInvalid)
{
    for (const char *fields : {
             "X-A: b\r\n c\r\n",
             "X A: b\r\n",
             "X-A\t: b\r\n",
             "X-A: b\rc\r\n",
             "Transfer-Encoding: gzip, chunked\r\n",
             "Transfer-Encoding: gzip\r\n",
             "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
             "Content-Length: 3\r\nContent-Length: 4\r\n",
             "Content-Length: 3, 3\r\n",
         }) {
        for (const char *before : {"", "HTTP/1.1 103 Early\r\nX: y\r\n\r\n"}) {
            reading_t reading =
                read(std::string(before) + "HTTP/1.1 200 OK\r\n" + fields +
                         "\r\n" + kChunks,
                     TRUE);
            EXPECT_TRUE(reading.invalid) << before << fields;
            EXPECT_EQ(reading.done, 0) << before << fields;
        }
    }
}

} // namespace
