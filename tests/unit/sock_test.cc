// Connections: the memory of those that are written to faster than they are
// read, and how long the other side may be silent.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <malloc.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "http/sock.h"

// The address sanitizer has its own allocator.
extern "C" size_t
__sanitizer_get_current_allocated_bytes() __attribute__((weak));

namespace {

constexpr gsize kChunk = 64 * 1024;
constexpr gsize kBurst = 8 * 1024 * 1024;
// What is unwritten, as much again of what is written, and one chunk.
constexpr gsize kGrowthMax = 2 * 1024 * 1024 + kChunk;

class Sock : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
        cq_sock_ops_t ops = {};
        ops.received = [](void *, const char *, gsize) {};
        ops.ended = [](void *, cq_sock_end_t) {};
        sock = cq_sock_from_fd(fds[0], &ops);
        before = allocated();
    }
    void
    TearDown() override
    {
        cq_sock_abort(sock);
        close(fds[1]);
    }
    static gsize
    allocated()
    {
        if (__sanitizer_get_current_allocated_bytes != nullptr) {
            return __sanitizer_get_current_allocated_bytes();
        }
        struct mallinfo2 info = mallinfo2();
        return info.uordblks + info.hblkhd;
    }
    void
    write(gsize len)
    {
        std::vector<char> bytes(len, 'x');
        cq_sock_write(sock, bytes.data(), bytes.size());
    }
    // The other side reads that much, and the connection writes more.
    void
    read(gsize len)
    {
        std::vector<char> bytes(kChunk);
        for (gsize done = 0; done < len;) {
            gsize wanted = MIN(bytes.size(), len - done);
            gssize n = recv(fds[1], bytes.data(), wanted, MSG_DONTWAIT);
            done += n > 0 ? (gsize)n : 0;
            g_main_context_iteration(nullptr, FALSE);
        }
    }

    int fds[2];
    cq_sock_t *sock;
    gsize before;
};

TEST_F(Sock, ABufferThatIsNeverEmptyForgetsWhatIsWritten)
{
    write(1024 * 1024);
    for (int i = 0; i < 1000; i++) {
        read(kChunk);
        write(kChunk);
        ASSERT_GT(cq_sock_unwritten_bytes(sock), 0u);
    }
    EXPECT_LE(allocated() - before, kGrowthMax);
}

TEST_F(Sock, ABufferThatWasLargeIsGivenBack)
{
    write(kBurst);
    read(kBurst);
    ASSERT_EQ(cq_sock_unwritten_bytes(sock), 0u);
    EXPECT_LE(allocated() - before, kChunk);
}

// A sound upstream may be silent for a second or so, and has one second more.
constexpr int kSilenceMs = 2000;

// One end of a TCP connection over loopback, with the options of the product.
class TcpOptions : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        sockaddr_in to = {};
        socklen_t len = sizeof to;
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(bind(listener, (sockaddr *)&to, sizeof to), 0);
        ASSERT_EQ(listen(listener, 1), 0);
        ASSERT_EQ(getsockname(listener, (sockaddr *)&to, &len), 0);
        fd = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(connect(fd, (sockaddr *)&to, sizeof to), 0);
        cq_sock_ops_t ops = {};
        ops.ended = [](void *, cq_sock_end_t) {};
        sock = cq_sock_from_fd(fd, &ops);
    }
    void
    TearDown() override
    {
        cq_sock_abort(sock);
        close(listener);
    }
    int
    option(int name)
    {
        int value = 0;
        socklen_t len = sizeof value;
        EXPECT_EQ(getsockopt(fd, IPPROTO_TCP, name, &value, &len), 0);
        return value;
    }

    int listener = -1;
    int fd = -1;
    cq_sock_t *sock = nullptr;
};

// With a user timeout, Linux ends a quiet connection at the first probe that
// is due after this time without a byte, if an earlier one is unanswered; the
// number of probes no longer counts. Silence that begins just before the first
// probe leaves the least time.
TEST_F(TcpOptions, ASilenceOfASecondOrSoEndsNoQuietConnection)
{
    int idle_ms = option(TCP_KEEPIDLE) * 1000;
    int interval_ms = option(TCP_KEEPINTVL) * 1000;
    int by_probes_ms = idle_ms + interval_ms * option(TCP_KEEPCNT);
    int user_timeout_ms = option(TCP_USER_TIMEOUT);
    int gives_up_ms = idle_ms + interval_ms;
    while (gives_up_ms < user_timeout_ms) {
        gives_up_ms += interval_ms;
    }
    if (user_timeout_ms == 0) {
        gives_up_ms = by_probes_ms;
    }
    EXPECT_GE(gives_up_ms - idle_ms, kSilenceMs);
}

// The other side is sound and acknowledges every probe, but reads nothing for
// a while: a caller that is slow, or an upstream that has not begun to read a
// long body.
TEST_F(TcpOptions, AnotherSideThatReadsNothingForAWhileGetsAll)
{
    constexpr gint64 kPauseUs = 6 * G_USEC_PER_SEC;
    constexpr gsize kBytes = 14 * 1024 * 1024;
    int other = accept(listener, nullptr, nullptr);
    ASSERT_GE(other, 0);
    std::string bytes(kBytes, 'x');
    cq_sock_write(sock, bytes.data(), bytes.size());
    ASSERT_GT(cq_sock_unwritten_bytes(sock), 0u);
    gint64 until_us = g_get_monotonic_time() + kPauseUs;
    while (g_get_monotonic_time() < until_us) {
        g_main_context_iteration(nullptr, FALSE);
        g_usleep(10 * 1000);
    }
    gsize received = 0;
    for (int i = 0; i < 1000 && received < kBytes; i++) {
        g_main_context_iteration(nullptr, FALSE);
        gssize n = recv(other, &bytes[0], bytes.size(), MSG_DONTWAIT);
        if (n > 0) {
            received += (gsize)n;
            continue;
        }
        if (n == 0 || errno != EAGAIN) {
            break;
        }
        g_usleep(10 * 1000);
    }
    EXPECT_EQ(received, kBytes);
    close(other);
}

} // namespace
