// The memory of connections that are written to faster than they are read.
#include <gtest/gtest.h>

#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

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

} // namespace
