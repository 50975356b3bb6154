// A process that has no descriptor left refuses new connections: it goes on,
// and doesn't spend its time on them.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "http/sock.h"

namespace {

class Descriptors : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
        cq_error_t error = {};
        for (int port = 20000; listener == 0 && port < 32000; port++) {
            g_snprintf(addr, sizeof addr, "127.0.0.1:%d", port);
            listener = cq_sock_listen(addr, on_accepted, this, &error);
        }
        ASSERT_NE(listener, 0u);
    }
    void
    TearDown() override
    {
        setrlimit(RLIMIT_NOFILE, &before);
        for (int fd : accepted) {
            close(fd);
        }
        for (int fd : callers) {
            close(fd);
        }
        g_source_remove(listener);
        run(10);
    }
    static void
    on_accepted(int fd, void *data)
    {
        Descriptors *test = (Descriptors *)data;
        if (fd < 0) {
            test->refused++;
            return;
        }
        test->accepted.push_back(fd);
    }
    // The process may have this many more descriptors than it has.
    void
    leave(int count)
    {
        int next = open("/dev/null", O_RDONLY);
        ASSERT_GE(next, 0);
        close(next);
        rlimit limit = before;
        limit.rlim_cur = (rlim_t)(next + count);
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
    }
    // A caller whose connection the kernel opens.
    void
    call()
    {
        sockaddr_in to = {};
        ASSERT_TRUE(cq_sock_parse_address(addr, &to));
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_GE(fd, 0);
        ASSERT_EQ(connect(fd, (sockaddr *)&to, sizeof to), 0);
        callers.push_back(fd);
    }
    static void
    run(int ms)
    {
        gint64 until_us = g_get_monotonic_time() + ms * 1000;
        guint timer = g_timeout_add(
            10, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; },
            nullptr);
        while (g_get_monotonic_time() < until_us) {
            g_main_context_iteration(nullptr, TRUE);
        }
        g_source_remove(timer);
    }
    static double
    cpu_seconds()
    {
        rusage used = {};
        getrusage(RUSAGE_SELF, &used);
        return (double)(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
               (double)(used.ru_utime.tv_usec + used.ru_stime.tv_usec) / 1e6;
    }

    rlimit before = {};
    char addr[32] = "";
    guint listener = 0;
    guint refused = 0;
    std::vector<int> accepted;
    std::vector<int> callers;
};

struct ending {
    gboolean ended = FALSE;
    cq_sock_end_t how = CQ_SOCK_EOF;
};

cq_sock_ops_t
ops_of(ending *end)
{
    cq_sock_ops_t ops = {};
    ops.received = [](void *, const char *, gsize) {};
    ops.ended = [](void *data, cq_sock_end_t how) {
        *(ending *)data = {TRUE, how};
    };
    ops.data = end;
    return ops;
}

TEST_F(Descriptors, AConnectionWithoutOneIsReportedAndEndsNothingElse)
{
    ending end;
    cq_sock_ops_t ops = ops_of(&end);
    leave(0);
    cq_sock_t *sock = cq_sock_connect(addr, &ops);
    cq_sock_write(sock, "x", 1);
    EXPECT_FALSE(end.ended);
    run(50);
    EXPECT_TRUE(end.ended);
    EXPECT_NE(end.how, CQ_SOCK_REFUSED);
    EXPECT_NE(end.how, CQ_SOCK_EOF);
    cq_sock_abort(sock);
    // Once there are some, connections open.
    setrlimit(RLIMIT_NOFILE, &before);
    ending later;
    ops = ops_of(&later);
    sock = cq_sock_connect(addr, &ops);
    run(50);
    EXPECT_FALSE(later.ended);
    EXPECT_TRUE(cq_sock_is_open(sock));
    cq_sock_abort(sock);
}

TEST_F(Descriptors, TheLastOnesAreNotForConnections)
{
    ending end;
    cq_sock_ops_t ops = ops_of(&end);
    leave(1);
    cq_sock_t *sock = cq_sock_connect(addr, &ops);
    run(50);
    EXPECT_TRUE(end.ended);
    cq_sock_abort(sock);
}

TEST_F(Descriptors, CallersWithoutOneAreClosedAtOnce)
{
    call();
    call();
    leave(1);
    run(100);
    EXPECT_EQ(accepted.size(), 0u);
    EXPECT_EQ(refused, 2u);
    char byte;
    EXPECT_EQ(recv(callers[0], &byte, 1, MSG_DONTWAIT), 0);
}

TEST_F(Descriptors, CallersThatCannotBeAcceptedDontTakeAllTheTime)
{
    call();
    leave(0);
    double start = cpu_seconds();
    run(1000);
    EXPECT_LT(cpu_seconds() - start, 0.3);
    EXPECT_EQ(accepted.size(), 0u);
    setrlimit(RLIMIT_NOFILE, &before);
    run(300);
    EXPECT_EQ(accepted.size(), 1u);
}

} // namespace
