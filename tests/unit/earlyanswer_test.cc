// Answers that an upstream begins while a long request is still being written
// to it, and answers whose status is none: what breaks off must not count as
// complete.
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "router/outbound.h"
#include "loopback.h"

namespace {

using loopback::run_until;

const std::string kSealed = "Cuminquay-Attempt-Id: a\r\n"
                            "Cuminquay-Replica-Seal: s\r\n";

class EarlyAnswer : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        listener = loopback::listen_at(&address);
        ASSERT_GE(listener, 0);
        cq_outbound_ops_t ops = {};
        ops.post = [](const cq_event_t *posted, void *data) {
            auto *test = static_cast<EarlyAnswer *>(data);
            if (posted->kind == CQ_EV_DONE || posted->kind == CQ_EV_FAILED) {
                test->ends.push_back(*posted);
            }
        };
        ops.data = this;
        outbound = cq_outbound_new(&ops);
    }
    void
    TearDown() override
    {
        cq_outbound_free(outbound);
        close(listener);
    }
    // Sends a request with a body of @len bytes. Return: the upstream's end of
    // its connection.
    int
    upload(gsize len)
    {
        request++;
        ends.clear();
        GString *head = g_string_new("POST /x HTTP/1.1\r\nHost: h\r\n");
        g_string_append_printf(head, "Content-Length: %zu\r\n\r\n", len);
        GByteArray *body = g_byte_array_new();
        g_byte_array_set_size(body, (guint)len);
        cq_outbound_call_t call = {};
        call.request = request;
        call.attempt = 1;
        call.upstream = 1;
        call.addr = address.c_str();
        call.incarnation = 1;
        call.fresh = TRUE;
        call.attempt_id = "a";
        call.method = "POST";
        call.head = head;
        call.body = body;
        call.last_event = -1;
        cq_outbound_send(outbound, &call);
        g_string_free(head, TRUE);
        g_byte_array_unref(body);
        int fd = -1;
        EXPECT_TRUE(run_until([&] {
            fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
            return fd >= 0;
        }));
        return fd;
    }
    // Return: how many bytes of the request the upstream has read, at least
    // @least of them.
    gsize
    read_upload(int fd, gsize least)
    {
        std::vector<char> bytes(64 * 1024);
        gsize read_len = 0;
        EXPECT_TRUE(run_until([&] {
            gssize n = recv(fd, bytes.data(), bytes.size(), 0);
            read_len += n > 0 ? (gsize)n : 0;
            return read_len >= least;
        }));
        return read_len;
    }
    static void
    reset(int fd)
    {
        struct linger none = {1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        close(fd);
    }
    // Whether the request counts as answered.
    bool
    is_done()
    {
        EXPECT_TRUE(run_until([this] { return !ends.empty(); }));
        return !ends.empty() && ends[0].kind == CQ_EV_DONE;
    }

    int listener = -1;
    std::string address;
    cq_outbound_t *outbound = nullptr;
    guint64 request = 0;
    std::vector<cq_event_t> ends;
};

TEST_F(EarlyAnswer, WithoutALengthThatIsResetDuringTheUploadIsNotComplete)
{
    const std::string plain = "HTTP/1.1 200 OK\r\n" + kSealed + "\r\npart";
    const std::string stream = "HTTP/1.1 200 OK\r\n" + kSealed +
                               "Content-Type: text/event-stream\r\n\r\n"
                               "id: 1\ndata: x\n\n";
    for (gsize len : {(gsize)90000, (gsize)4 << 20, (gsize)16 << 20}) {
        for (gsize least : {(gsize)1, len / 3, len / 2}) {
            for (int pause = 0; pause < 4; pause++) {
                for (const std::string &answer : {plain, stream}) {
                    int fd = upload(len);
                    read_upload(fd, least);
                    ASSERT_EQ(write(fd, answer.data(), answer.size()),
                              (gssize)answer.size());
                    for (int i = 0; i < pause; i++) {
                        g_main_context_iteration(nullptr, FALSE);
                    }
                    reset(fd);
                    EXPECT_FALSE(is_done()) << len << " bytes, " << least
                                            << " read, pause " << pause;
                    cq_outbound_remove(outbound, request);
                }
            }
        }
    }
}

TEST_F(EarlyAnswer, WithoutALengthThatEndsWithItsConnectionIsComplete)
{
    int fd = upload(90000);
    read_upload(fd, 90000);
    const std::string answer = "HTTP/1.1 200 OK\r\n" + kSealed + "\r\nwhole";
    ASSERT_EQ(write(fd, answer.data(), answer.size()), (gssize)answer.size());
    close(fd);
    EXPECT_TRUE(is_done());
}

TEST_F(EarlyAnswer, WhoseStatusIsNoneIsNoAnswer)
{
    for (const char *status :
         {"000", "0", "00", "001", "099", "20", "2000", "2x0", "-200", "",
          "000 OK\r\nX: y\r\n\r\n"
          "HTTP/1.1 000"}) {
        for (const char *framing : {"Content-Length: 4\r\n", ""}) {
            int fd = upload(1000);
            read_upload(fd, 1000);
            std::string answer = std::string("HTTP/1.1 ") + status +
                                 " OK\r\n" + kSealed + framing + "\r\nbody";
            ASSERT_EQ(write(fd, answer.data(), answer.size()),
                      (gssize)answer.size());
            close(fd);
            EXPECT_FALSE(is_done()) << status << " " << framing;
            cq_outbound_remove(outbound, request);
        }
    }
}

} // namespace
