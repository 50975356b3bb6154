// Connections: the memory of those that are written to faster than they are
// read, and how long the other side may be silent.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <linux/filter.h>
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

// More than the kernel's buffers hold.
constexpr gsize kBytes = 14 * 1024 * 1024;
// A long stream of small events.
constexpr gsize kStream = 34 * 1024;
// The longest time for which the other side may be silent: the user timeout of
// 4 s, from the first probe or the last acknowledgement on, and the next
// probe.
constexpr int kSilentMaxMs = 6000;

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
        connect_to(to);
    }
    void
    connect_to(const sockaddr_in &to)
    {
        fd = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(connect(fd, (const sockaddr *)&to, sizeof to), 0);
        cq_sock_ops_t ops = {};
        ops.ended = [](void *data, cq_sock_end_t) { *(bool *)data = true; };
        ops.data = &ended;
        sock = cq_sock_from_fd(fd, &ops);
        other = accept(listener, nullptr, nullptr);
        ASSERT_GE(other, 0);
    }
    // Replaces the connection by one whose other side has this receive buffer.
    void
    connect_with_window(int bytes)
    {
        ASSERT_EQ(
            setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes),
            0);
        sockaddr_in to = {};
        socklen_t len = sizeof to;
        ASSERT_EQ(getsockname(listener, (sockaddr *)&to, &len), 0);
        cq_sock_abort(sock);
        close(other);
        connect_to(to);
    }
    void
    TearDown() override
    {
        cq_sock_abort(sock);
        close(other);
        close(listener);
    }
    // Runs the main loop until then, or until the connection has ended.
    // Return: how long it ran.
    int
    run_ms(int max_ms)
    {
        gint64 start_us = g_get_monotonic_time();
        int ran_ms = 0;
        while (!ended && ran_ms < max_ms) {
            g_main_context_iteration(nullptr, FALSE);
            g_usleep(10 * 1000);
            ran_ms = (int)((g_get_monotonic_time() - start_us) / 1000);
        }
        return ran_ms;
    }
    // The other side reads 500 bytes each 120 ms, until it has read kStream
    // bytes, the connection has ended or the time is over. Return: bytes read.
    gsize
    read_slowly(int max_ms)
    {
        constexpr int kSipMs = 120;
        char bytes[500];
        gsize received = 0;
        for (int ms = 0; ms < max_ms && received < kStream && !ended;
             ms += kSipMs) {
            run_ms(kSipMs);
            gssize n = recv(other, bytes, sizeof bytes, MSG_DONTWAIT);
            received += n > 0 ? (gsize)n : 0;
        }
        return received;
    }
    void
    write(gsize len)
    {
        std::string bytes(len, 'x');
        cq_sock_write(sock, bytes.data(), bytes.size());
    }
    // From now on the other side gets nothing and acknowledges nothing.
    void
    silence_other()
    {
        sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
        sock_fprog program = {1, &drop};
        ASSERT_EQ(setsockopt(other, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                             sizeof program),
                  0);
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
    int other = -1;
    bool ended = false;
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
    constexpr int kPauseMs = 6000;
    write(kBytes);
    ASSERT_GT(cq_sock_unwritten_bytes(sock), 0u);
    run_ms(kPauseMs);
    std::string bytes(kBytes, 'x');
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
}

// A caller on a thin link, or with little processor: it takes some bytes again
// and again, fewer than the next segment has. The bytes are those of a long
// stream, all of which has come at once.
TEST_F(TcpOptions, AnotherSideThatReadsSlowlyGetsAll)
{
    connect_with_window(4096);
    write(kStream);
    EXPECT_EQ(read_slowly(14000), kStream);
    EXPECT_FALSE(ended);
}

TEST_F(TcpOptions, AnotherSideThatReadsSlowlyAndFallsSilentIsFoundInTime)
{
    connect_with_window(4096);
    write(kStream);
    read_slowly(5000);
    ASSERT_FALSE(ended);
    silence_other();
    EXPECT_LE(run_ms(20000), kSilentMaxMs);
    EXPECT_TRUE(ended);
}

// The kernel probes a closed window ever more rarely, if it may.
TEST_F(TcpOptions, AnotherSideThatFallsSilentAfterAWhileIsFoundInTime)
{
    write(kBytes);
    run_ms(7000);
    ASSERT_FALSE(ended);
    silence_other();
    int silent_ms = run_ms(20000);
    EXPECT_TRUE(ended);
    EXPECT_LE(silent_ms, kSilentMaxMs);
}

TEST_F(TcpOptions, AnotherSideThatIsSilentIsFoundInTime)
{
    silence_other();
    write(kBytes);
    EXPECT_LE(run_ms(20000), kSilentMaxMs);
    EXPECT_TRUE(ended);
}

TEST_F(TcpOptions, AnotherSideThatIsSilentOnAQuietConnectionIsFoundInTime)
{
    write(1);
    run_ms(700);
    silence_other();
    EXPECT_LE(run_ms(20000), kSilentMaxMs);
    EXPECT_TRUE(ended);
}

// The last acknowledgement on a quiet connection is old.
TEST_F(TcpOptions, ASilenceOfASecondOrSoAfterAQuietTimeEndsNothing)
{
    write(1);
    run_ms(5000);
    silence_other();
    write(1);
    run_ms(kSilenceMs);
    int unused = 0;
    ASSERT_EQ(setsockopt(other, SOL_SOCKET, SO_DETACH_FILTER, &unused,
                         sizeof unused),
              0);
    run_ms(2000);
    EXPECT_FALSE(ended);
    EXPECT_EQ(cq_sock_undelivered_bytes(sock), 0u);
}

// What waits for callers that read nothing is bounded, all together: the
// others end when they did before.
TEST_F(TcpOptions, SidesThatReadNothingDontTakeMemoryWithoutEnd)
{
    constexpr int kSides = 5;
    constexpr gsize kHeldMax = 32 * 1024 * 1024;
    struct side {
        bool ended = false;
        cq_sock_t *sock = nullptr;
        int other = -1;
    } sides[kSides];
    sockaddr_in to = {};
    socklen_t len = sizeof to;
    ASSERT_EQ(getsockname(listener, (sockaddr *)&to, &len), 0);
    std::string bytes(kBytes, 'x');
    for (side &one : sides) {
        int one_fd = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(connect(one_fd, (sockaddr *)&to, sizeof to), 0);
        one.other = accept(listener, nullptr, nullptr);
        cq_sock_ops_t ops = {};
        ops.ended = [](void *data, cq_sock_end_t) { *(bool *)data = true; };
        ops.data = &one.ended;
        one.sock = cq_sock_from_fd(one_fd, &ops);
        cq_sock_write(one.sock, bytes.data(), bytes.size());
    }
    run_ms(7000);
    gsize held = 0;
    int kept = 0;
    for (side &one : sides) {
        held += one.ended ? 0 : cq_sock_unwritten_bytes(one.sock);
        kept += !one.ended;
        cq_sock_abort(one.sock);
        close(one.other);
    }
    EXPECT_LE(held, kHeldMax);
    EXPECT_GE(kept, 2);
}

} // namespace
