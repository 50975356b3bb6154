// Answers of the store that end early or come with interim answers. The store
// is a socket of the test.
#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

#include "base/limits.h"
#include "platform/store.h"
#include "loopback.h"

namespace {

using loopback::run_until;

// A read of one record: "k" with the value "v", at offset 0 of a topic that
// ends at 1.
const std::string kRecords("\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0\0\0\0\0\3\1kv", 23);

std::string
length_field(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

class Store : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        listener = loopback::listen_at(&address);
        ASSERT_GE(listener, 0);
        store = cq_store_new(
            address.c_str(), [](void *) {}, nullptr);
    }
    void
    TearDown() override
    {
        cq_store_free(store);
        if (conn >= 0) {
            close(conn);
        }
        close(listener);
    }
    static void
    on_done(const cq_store_page_t *page, void *data)
    {
        auto *test = static_cast<Store *>(data);
        test->ended = true;
        test->outcome = page->outcome;
        test->values.clear();
        for (guint i = 0; i < page->records->len; i++) {
            cq_store_record_t *record =
                &g_array_index(page->records, cq_store_record_t, i);
            gsize len = 0;
            const char *bytes =
                (const char *)g_bytes_get_data(record->value, &len);
            test->values +=
                std::string(record->key) + "=" + std::string(bytes, len) + ";";
        }
    }
    // Starts a call of this kind, and waits until the store has it.
    void
    call(char kind)
    {
        ended = false;
        switch (kind) {
        case 'r':
            cq_store_read(store, CQ_TOPIC_UPSTREAMS, 0, 0, on_done, this);
            break;
        case 'n':
            cq_store_read_newest(store, CQ_TOPIC_UPSTREAMS, nullptr, on_done,
                                 this);
            break;
        default:
            cq_store_write(store, CQ_TOPIC_HOSTS, "k", "v", on_done, this);
        }
        ASSERT_TRUE(run_until([this] {
            int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
            if (fd >= 0) {
                if (conn >= 0) {
                    close(conn);
                }
                conn = fd;
            }
            char bytes[4096];
            return conn >= 0 && recv(conn, bytes, sizeof bytes, 0) > 0;
        }));
    }
    // Return: how the call ends that gets these bytes; with @close the store
    // then closes the connection.
    cq_store_outcome_t
    answer(const std::string &bytes, bool close_conn)
    {
        if (!bytes.empty()) {
            EXPECT_EQ(write(conn, bytes.data(), bytes.size()),
                      (gssize)bytes.size());
        }
        if (close_conn) {
            close(conn);
            conn = -1;
        }
        EXPECT_TRUE(run_until([this] { return ended; }));
        return outcome;
    }
    // Sends @bytes, and @each bytes more every 100 ms, until the call has
    // ended or @ms have passed. Return: the longest time in ms for which the
    // answer was not arriving meanwhile.
    int
    send_slowly(const std::string &bytes, size_t each, int ms)
    {
        EXPECT_EQ(write(conn, bytes.data(), bytes.size()),
                  (gssize)bytes.size());
        const std::string more(each, '\0');
        gint64 start_us = g_get_monotonic_time();
        gint64 next_us = start_us;
        gint64 longest_us = 0;
        EXPECT_TRUE(run_until([&] {
            gint64 now_us = g_get_monotonic_time();
            gint64 ago_us = cq_store_heard_ago_us(store, this);
            if (ago_us != G_MAXINT64) {
                longest_us = MAX(longest_us, ago_us);
            }
            if (now_us >= next_us && !ended) {
                next_us += 100 * CQ_MS_US;
                EXPECT_EQ(write(conn, more.data(), each), (gssize)each);
            }
            return ended || now_us - start_us > ms * CQ_MS_US;
        }));
        return (int)(longest_us / CQ_MS_US);
    }
    static std::string
    body_of(char kind)
    {
        return kind == 'r'   ? kRecords
               : kind == 'n' ? "{\"items\":[],\"end\":1}"
                             : "{}";
    }

    int listener = -1;
    int conn = -1;
    std::string address;
    cq_store_t *store = nullptr;
    bool ended = false;
    cq_store_outcome_t outcome = CQ_STORE_DONE;
    std::string values;
};

// Bytes that drip from a connection whose other side has lost the rest kept a
// read for 30 s, and kept others from being started beside it.
TEST_F(Store, AnAnswerWhoseBytesDripIsNotWaitedFor)
{
    call('r');
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n";
    EXPECT_GE(send_slowly(head, 1, 2000), 800);
    EXPECT_TRUE(ended);
    EXPECT_EQ(outcome, CQ_STORE_FAILED);
}

TEST_F(Store, AnAnswerThatArrivesSlowlyIsWaitedFor)
{
    call('r');
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n";
    EXPECT_LE(send_slowly(head, 1200, 2000), 200);
    EXPECT_FALSE(ended);
}

TEST_F(Store, AWholeAnswerIsBelieved)
{
    call('r');
    EXPECT_EQ(answer("HTTP/1.1 200 OK\r\n" + length_field(kRecords) + "\r\n" +
                         kRecords,
                     false),
              CQ_STORE_DONE);
    EXPECT_EQ(values, "k=v;");
}

// At each byte of the head, on new connections and on those that have carried
// a whole answer, after an interim answer too.
TEST_F(Store, AnAnswerThatEndsInItsHeadFails)
{
    for (char kind : {'r', 'n', 'w'}) {
        std::string body = body_of(kind);
        for (const std::string &framing :
             {length_field(body),
              std::string("Transfer-Encoding: chunked\r\n"), std::string()}) {
            for (const char *interim :
                 {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}) {
                std::string head =
                    interim + ("HTTP/1.1 200 OK\r\n" + framing) + "\r\n";
                for (size_t len = 0; len < 2 * head.size(); len++) {
                    if (len % 2 == 0) {
                        call('r');
                        answer("HTTP/1.1 200 OK\r\n" + length_field(kRecords) +
                                   "\r\n" + kRecords,
                               false);
                        ASSERT_EQ(outcome, CQ_STORE_DONE);
                    }
                    call(kind);
                    EXPECT_EQ(answer(head.substr(0, len / 2), true),
                              CQ_STORE_FAILED)
                        << kind << head.substr(0, len / 2);
                    EXPECT_EQ(values, "");
                }
            }
        }
    }
}

TEST_F(Store, AnAnswerThatEndsInItsBodyFails)
{
    for (char kind : {'r', 'n', 'w'}) {
        std::string body = body_of(kind);
        for (size_t len = 0; len < body.size(); len++) {
            call(kind);
            EXPECT_EQ(answer("HTTP/1.1 200 OK\r\n" + length_field(body) +
                                 "\r\n" + body.substr(0, len),
                             true),
                      CQ_STORE_FAILED);
            EXPECT_EQ(values, "");
            call(kind);
            char size[16];
            g_snprintf(size, sizeof size, "%zx\r\n", body.size());
            EXPECT_EQ(
                answer(std::string("HTTP/1.1 200 OK\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n") +
                           size + body.substr(0, len),
                       true),
                CQ_STORE_FAILED);
            EXPECT_EQ(values, "");
        }
    }
}

// RFC 9110, 15.2: an interim answer ends with its head.
TEST_F(Store, AnInterimAnswerWithFramingTakesNoBytesOfTheAnswer)
{
    for (const char *framing :
         {"", "Content-Length: 0\r\n", "Content-Length: 5\r\n",
          "Transfer-Encoding: chunked\r\n"}) {
        call('r');
        EXPECT_EQ(answer(std::string("HTTP/1.1 103 Early Hints\r\n") +
                             framing + "\r\nHTTP/1.1 200 OK\r\n" +
                             length_field(kRecords) + "\r\n" + kRecords,
                         false),
                  CQ_STORE_DONE)
            << framing;
        EXPECT_EQ(values, "k=v;") << framing;
    }
}

// The bytes behind the interim head are no answer.
TEST_F(Store, ABodyOfAnInterimAnswerIsNotPutBeforeTheAnswers)
{
    call('r');
    EXPECT_EQ(answer("HTTP/1.1 103 Early Hints\r\nContent-Length: 23\r\n\r\n" +
                         kRecords +
                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                         "\r\n",
                     false),
              CQ_STORE_FAILED);
    EXPECT_EQ(values, "");
}

} // namespace
