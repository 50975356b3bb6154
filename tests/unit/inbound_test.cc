// Callers' connections that are closed while a request is on its way, and
// answers that are the last of their connection. A caller's bytes are read
// only when the test runs the main loop, so what waits unread is certain.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "router/idlelimit.h"
#include "router/inbound.h"

namespace {

constexpr gint64 kLong = 60 * CQ_SECOND_US;
constexpr int kHttpOk = 200;
const std::string kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kLastGet =
    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
const std::string kReset = " (reset)";
// Less than the kernel takes to send, and more than a slow caller's window.
constexpr gsize kSlowAnswer = 64 * 1024;

class Inbound : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        cq_inbound_ops_t ops = {};
        ops.request_complete = [](cq_exchange_t *exchange, void *data) {
            auto *test = static_cast<Inbound *>(data);
            test->requests++;
            test->held = exchange;
            if (test->answers) {
                test->answer("yes");
            }
        };
        ops.caller_gone = [](cq_exchange_t *, void *data) {
            static_cast<Inbound *>(data)->held = nullptr;
        };
        ops.writable = [](cq_exchange_t *, void *) {};
        ops.data = this;
        inbound = cq_inbound_new(&ops);
        routes = cq_routes_new();
        cq_error_t error = {};
        for (guint16 port = 21000; port < 31000 && address.sin_port == 0;
             port++) {
            std::string addr = "127.0.0.1:" + std::to_string(port);
            if (cq_inbound_listen(inbound, addr.c_str(), &error)) {
                address.sin_family = AF_INET;
                address.sin_port = htons(port);
                address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            }
        }
        ASSERT_NE(address.sin_port, 0);
        caller = connect_caller();
    }
    void
    TearDown() override
    {
        if (inbound != nullptr) {
            cq_inbound_free(inbound);
        }
        cq_routes_free(routes);
        close(caller);
    }
    int
    connect_caller()
    {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        EXPECT_EQ(connect(fd, (sockaddr *)&address, sizeof address), 0);
        run();
        return fd;
    }
    // Return: a caller whose kernel takes few bytes before they are read.
    int
    connect_slow_caller()
    {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        int bytes = 4096;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        EXPECT_EQ(connect(fd, (sockaddr *)&address, sizeof address), 0);
        run();
        return fd;
    }
    void
    limits(gint64 head_us, gint64 idle_us, gsize body_bytes)
    {
        routes->head_timeout_us = head_us;
        routes->idle_timeout_us = idle_us;
        routes->body_bytes_max = body_bytes;
        routes->version++;
        cq_inbound_set_limits(inbound, routes);
    }
    // Runs the main loop until nothing is left to do.
    static void
    run()
    {
        for (int i = 0; i < 20; i++) {
            while (g_main_context_iteration(nullptr, FALSE)) {
            }
        }
    }
    // The time that a limit of 0 allows has passed.
    void
    check_timeouts()
    {
        g_usleep(2);
        cq_inbound_check_timeouts(inbound);
    }
    void
    answer(const std::string &body)
    {
        cq_h1_head_t head = {};
        head.status = kHttpOk;
        head.fields = g_array_new(FALSE, FALSE, sizeof(cq_h1_field_t));
        cq_exchange_t *exchange = held;
        held = nullptr;
        cq_exchange_answer(exchange, &head, body.data(), body.size());
        g_array_unref(head.fields);
    }
    // Return: whether the kernel took all the bytes.
    bool
    say(const std::string &text) const
    {
        return send(caller, text.data(), text.size(),
                    MSG_NOSIGNAL | MSG_DONTWAIT) == (gssize)text.size();
    }
    // Return: what the caller has received; at the end of the connection
    // followed by "." or kReset.
    std::string
    hear() const
    {
        std::string heard;
        std::vector<char> bytes(256 * 1024);
        for (;;) {
            run();
            gssize n = recv(caller, bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (n > 0) {
                heard.append(bytes.data(), (gsize)n);
            }
            else if (n == 0) {
                return heard + ".";
            }
            else {
                return errno == EAGAIN ? heard : heard + kReset;
            }
        }
    }
    static bool
    starts_with(const std::string &text, const std::string &start)
    {
        return text.compare(0, start.size(), start) == 0;
    }
    static bool
    ends_with(const std::string &text, const std::string &end)
    {
        return text.size() >= end.size() &&
               text.compare(text.size() - end.size(), end.size(), end) == 0;
    }

    cq_inbound_t *inbound;
    cq_routes_t *routes;
    sockaddr_in address = {};
    int caller;
    int requests = 0;
    bool answers = true;
    cq_exchange_t *held = nullptr;
};

// A connection that is idle for too long is closed: "." and nothing else.
TEST_F(Inbound, AnIdleConnectionIsClosedAtItsLimit)
{
    limits(kLong, 0, 1000);
    int second = connect_caller();
    close(caller);
    caller = second;
    check_timeouts();
    EXPECT_EQ(hear(), ".");
}

// A caller may send a request again that was left unread, and TCP tells it by
// a reset that nobody reads any more.
TEST_F(Inbound, ARequestThatCrossesAnIdleCloseIsNotRead)
{
    limits(kLong, 0, 1000);
    int second = connect_caller();
    close(caller);
    caller = second;
    check_timeouts();
    EXPECT_EQ(hear(), ".");
    EXPECT_TRUE(say(kGet));
    run();
    EXPECT_FALSE(say(kGet));
    EXPECT_EQ(requests, 0);
}

TEST_F(Inbound, ALoweredIdleLimitSparesConnectionsThatAreIdle)
{
    limits(kLong, kLong, 1000);
    limits(kLong, 0, 1000);
    check_timeouts();
    EXPECT_EQ(hear(), "");
    EXPECT_TRUE(say(kGet));
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "\r\n\r\nyes")) << heard;
}

TEST_F(Inbound, TheFirstLimitHoldsFromTheNextIdlePeriod)
{
    limits(kLong, 0, 1000);
    check_timeouts();
    EXPECT_EQ(hear(), "");
    EXPECT_TRUE(say(kGet));
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "\r\n\r\nyes")) << heard;
    check_timeouts();
    EXPECT_EQ(hear(), ".");
}

TEST_F(Inbound, ARaisedIdleLimitHoldsAtOnce)
{
    limits(kLong, 0, 1000);
    EXPECT_TRUE(say(kGet));
    EXPECT_NE(hear(), "");
    limits(kLong, kLong, 1000);
    check_timeouts();
    limits(kLong, 0, 1000);
    check_timeouts();
    EXPECT_EQ(hear(), "");
}

// Its caller may not know of the lowered limit when it uses the connection.
TEST_F(Inbound, ALoweredIdleLimitSparesConnectionsThatBecomeIdleSoonAfter)
{
    limits(kLong, kLong, 1000);
    limits(kLong, 0, 1000);
    EXPECT_TRUE(say(kGet));
    EXPECT_NE(hear(), "");
    check_timeouts();
    EXPECT_EQ(hear(), "");
}

void
change(cq_idle_limit_t *limit, gint64 timeout_us, gint64 now_us)
{
    cq_routes_t routes = {};
    routes.version = limit->version + 1;
    routes.idle_timeout_us = timeout_us;
    cq_idle_limit_change(limit, &routes, now_us);
}

TEST(IdleLimit, ALoweredTimeoutHoldsOnceCallersKnowIt)
{
    const gint64 second = CQ_SECOND_US;
    const gint64 notice = CQ_IDLE_NOTICE_US;
    cq_idle_limit_t limit = {};
    change(&limit, 30 * second, 0);
    EXPECT_EQ(cq_idle_limit_timeout(&limit, 0), 30 * second);
    change(&limit, 3 * second, second);
    EXPECT_EQ(cq_idle_limit_timeout(&limit, second + notice - 1), 30 * second);
    EXPECT_EQ(cq_idle_limit_timeout(&limit, second + notice), 3 * second);
}

TEST(IdleLimit, AFurtherChangeDoesNotProlongTheNotice)
{
    const gint64 second = CQ_SECOND_US;
    const gint64 notice = CQ_IDLE_NOTICE_US;
    cq_idle_limit_t limit = {};
    change(&limit, 30 * second, 0);
    change(&limit, 3 * second, second);
    change(&limit, 3 * second, 2 * second);
    change(&limit, 4 * second, 3 * second);
    EXPECT_EQ(cq_idle_limit_timeout(&limit, second + notice - 1), 30 * second);
    EXPECT_EQ(cq_idle_limit_timeout(&limit, second + notice), 4 * second);
}

TEST(IdleLimit, ALimitThatIsLoweredTwiceKeepsTheLongestThatCallersMayKnow)
{
    const gint64 second = CQ_SECOND_US;
    const gint64 notice = CQ_IDLE_NOTICE_US;
    cq_idle_limit_t limit = {};
    change(&limit, 30 * second, 0);
    change(&limit, 3 * second, second);
    change(&limit, 2 * second, 2 * second);
    EXPECT_EQ(cq_idle_limit_timeout(&limit, 2 * second), 30 * second);
    change(&limit, second, 2 * second + notice);
    EXPECT_EQ(cq_idle_limit_timeout(&limit, 2 * second + notice), 2 * second);
    EXPECT_EQ(cq_idle_limit_timeout(&limit, 2 * second + 2 * notice), second);
}

TEST_F(Inbound, ARequestThatWaitsAtTheIdleLimitIsAnswered)
{
    limits(kLong, 0, 1000);
    EXPECT_TRUE(say(kGet));
    EXPECT_NE(hear(), "");
    EXPECT_TRUE(say(kGet));
    check_timeouts();
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "\r\n\r\nyes")) << heard;
}

TEST_F(Inbound, ARequestThatWaitsWhenIdleConnectionsAreClosedIsAnswered)
{
    cq_inbound_drain(inbound);
    EXPECT_TRUE(say(kGet));
    cq_inbound_close_idle(inbound);
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "\r\n\r\nyes.")) << heard;
}

// As after a suspension of the process.
TEST_F(Inbound, ARestOfAHeadThatWaitsAtItsLimitIsRead)
{
    limits(0, kLong, 1000);
    EXPECT_TRUE(say(kGet.substr(0, 10)));
    run();
    EXPECT_TRUE(say(kGet.substr(10)));
    check_timeouts();
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "\r\n\r\nyes")) << heard;
}

TEST_F(Inbound, AHeadThatComesInPiecesIsRejectedAtItsLimit)
{
    limits(0, kLong, 1000);
    EXPECT_TRUE(say(kGet.substr(0, 10)));
    run();
    EXPECT_TRUE(say(kGet.substr(10, 2)));
    check_timeouts();
    run();
    say(kGet.substr(12, 2));
    check_timeouts();
    std::string heard = hear();
    EXPECT_TRUE(starts_with(heard, "HTTP/1.1 408 ")) << heard;
}

TEST_F(Inbound, ACallerThatIsStillSendingGetsItsRejection)
{
    limits(kLong, kLong, 1000);
    EXPECT_TRUE(
        say("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"));
    for (int i = 0; i < 9; i++) {
        EXPECT_TRUE(say(std::string(1000, 'x'))) << "part " << i;
        run();
    }
    std::string heard = hear();
    EXPECT_TRUE(starts_with(heard, "HTTP/1.1 413 ")) << heard;
    EXPECT_TRUE(ends_with(heard, "}.")) << heard;
}

TEST_F(Inbound, ARequestBehindTheLastOneDoesNotHarmItsAnswer)
{
    answers = false;
    EXPECT_TRUE(say(kLastGet));
    run();
    ASSERT_NE(held, nullptr);
    EXPECT_TRUE(say(kGet));
    answer("last");
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "\r\n\r\nlast.")) << heard;
    EXPECT_EQ(requests, 1);
}

TEST_F(Inbound, ACallerThatNeverStopsSendingIsCutOff)
{
    EXPECT_TRUE(say("bad\r\n\r\n"));
    EXPECT_TRUE(starts_with(hear(), "HTTP/1.1 400 "));
    const std::string part(64 * 1024, 'x');
    bool sent = true;
    for (gsize done = 0; sent && done < 2 * CQ_CLOSING_BYTES_MAX;
         done += part.size()) {
        run();
        sent = say(part);
    }
    EXPECT_FALSE(sent);
}

TEST_F(Inbound, ACallerThatDoesNotCloseIsCutOff)
{
    EXPECT_TRUE(say(kLastGet));
    EXPECT_TRUE(ends_with(hear(), "yes."));
    cq_inbound_check_timeouts(inbound);
    run();
    EXPECT_TRUE(say("x"));
    g_usleep(CQ_CLOSING_TIMEOUT_US + 1);
    cq_inbound_check_timeouts(inbound);
    run();
    say("x");
    EXPECT_FALSE(say("x"));
}

// A stop waits until nothing is unfinished.
TEST_F(Inbound, AnAnswerIsUnfinishedUntilItIsWritten)
{
    const std::string body(32 * 1024 * 1024, 'x');
    answers = false;
    cq_inbound_drain(inbound);
    EXPECT_TRUE(say(kGet));
    run();
    answer(body);
    run();
    EXPECT_EQ(cq_inbound_unfinished(inbound), 1u);
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "xxx."));
    EXPECT_GT(heard.size(), body.size());
    EXPECT_EQ(cq_inbound_unfinished(inbound), 0u);
}

TEST_F(Inbound, AnAnswerThatIsWrittenOutlivesTheServer)
{
    const std::string body(100 * 1000, 'x');
    answers = false;
    EXPECT_TRUE(say(kGet));
    run();
    answer(body);
    cq_inbound_free(inbound);
    inbound = nullptr;
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "xxx.")) << heard.size();
    EXPECT_GT(heard.size(), body.size());
}

// A caller that reads slowly: the kernel has the rest of its answer, and the
// caller's connection is kept or not.
TEST_F(Inbound, AnAnswerIsUnfinishedUntilItsCallerHasIt)
{
    answers = false;
    for (const std::string &request : {kGet, kLastGet}) {
        close(caller);
        caller = connect_slow_caller();
        ASSERT_TRUE(say(request));
        run();
        const std::string body(kSlowAnswer, 'x');
        answer(body);
        run();
        cq_inbound_drain(inbound);
        EXPECT_EQ(cq_inbound_unfinished(inbound), 1u);
        cq_inbound_close_idle(inbound);
        run();
        EXPECT_EQ(cq_inbound_unfinished(inbound), 1u)
            << "the idle connection was closed";
        std::string heard;
        for (int i = 0; i < 300 && cq_inbound_unfinished(inbound) > 0; i++) {
            heard += hear();
            g_usleep(10 * 1000);
            run();
        }
        heard += hear();
        EXPECT_EQ(cq_inbound_unfinished(inbound), 0u);
        EXPECT_NE(heard.find(body), std::string::npos) << heard.size();
    }
}

// An answer that keeps the connection, and is written when a stop begins.
TEST_F(Inbound, AnAnswerBeforeAStopIsUnfinishedUntilItIsWritten)
{
    const std::string body(32 * 1024 * 1024, 'x');
    answers = false;
    EXPECT_TRUE(say(kGet));
    run();
    answer(body);
    cq_inbound_drain(inbound);
    cq_inbound_close_idle(inbound);
    EXPECT_EQ(cq_inbound_unfinished(inbound), 1u);
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "xxx."));
    EXPECT_EQ(cq_inbound_unfinished(inbound), 0u);
}

TEST_F(Inbound, ARequestThatArrivesIsUnfinished)
{
    EXPECT_EQ(cq_inbound_unfinished(inbound), 0u);
    EXPECT_TRUE(say("PUT / HTTP/1.1\r\n"));
    EXPECT_EQ(cq_inbound_unfinished(inbound), 1u);
    run();
    EXPECT_EQ(cq_inbound_unfinished(inbound), 1u);
    EXPECT_TRUE(say("Host: h\r\nContent-Length: 2\r\n\r\nx"));
    run();
    EXPECT_EQ(cq_inbound_unfinished(inbound), 1u);
    EXPECT_TRUE(say("x"));
    EXPECT_TRUE(ends_with(hear(), "yes"));
    EXPECT_EQ(cq_inbound_unfinished(inbound), 0u);
}

TEST_F(Inbound, AServerThatStopsListeningFinishesItsConnections)
{
    EXPECT_TRUE(say("GET / HTTP/1.1\r\n"));
    run();
    cq_inbound_stop_listening(inbound);
    int late = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_NE(connect(late, (sockaddr *)&address, sizeof address), 0);
    EXPECT_EQ(errno, ECONNREFUSED);
    close(late);
    EXPECT_TRUE(say("Host: h\r\n\r\n"));
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "\r\n\r\nyes")) << heard;
}

// A stream whose head did not say that the connection ends.
TEST_F(Inbound, AStopDoesNotCloseAConnectionThatWasToBeKept)
{
    answers = false;
    EXPECT_TRUE(say(kGet));
    run();
    cq_h1_head_t head = {};
    head.status = kHttpOk;
    head.fields = g_array_new(FALSE, FALSE, sizeof(cq_h1_field_t));
    cq_exchange_begin(held, &head);
    g_array_unref(head.fields);
    cq_inbound_drain(inbound);
    cq_exchange_write(held, "one", 3);
    cq_exchange_end(held);
    answers = true;
    EXPECT_TRUE(ends_with(hear(), "0\r\n\r\n"));
    EXPECT_TRUE(say(kGet));
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "\r\n\r\nyes.")) << heard;
}

// HTTP/1.0 has no chunks: only the close ends a body of unknown length.
TEST_F(Inbound, AStreamOverHttp10IsEndedByAClose)
{
    answers = false;
    EXPECT_TRUE(say("GET / HTTP/1.0\r\nHost: h\r\n"
                    "Connection: keep-alive\r\n\r\n"));
    run();
    ASSERT_NE(held, nullptr);
    cq_h1_head_t head = {};
    head.status = kHttpOk;
    head.fields = g_array_new(FALSE, FALSE, sizeof(cq_h1_field_t));
    cq_exchange_begin(held, &head);
    g_array_unref(head.fields);
    cq_exchange_write(held, "one", 3);
    cq_exchange_end(held);
    std::string heard = hear();
    EXPECT_TRUE(ends_with(heard, "\r\n\r\none.")) << heard;
}

} // namespace
