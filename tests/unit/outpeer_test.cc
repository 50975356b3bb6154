// Connections that a host opens: calls to other entry hosts, and probes of
// whether upstreams are within reach. The other side is a socket of the test.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

#include "base/limits.h"
#include "router/outbound.h"
#include "router/reachprobe.h"

namespace {

constexpr gint64 kWaitUs = 10 * CQ_SECOND_US;
const char *const kSealed =
    "Cuminquay-Replica-Seal: 1\r\nCuminquay-Attempt-Id: 9c\r\n";

// Runs the main loop until @done. Return: whether it was done in time.
bool
run_until(const std::function<bool()> &done)
{
    gint64 end_us = g_get_monotonic_time() + kWaitUs;
    while (!done()) {
        if (g_get_monotonic_time() > end_us) {
            return false;
        }
        if (!g_main_context_iteration(nullptr, FALSE)) {
            g_usleep(500);
        }
    }
    return true;
}

// A listener on a loopback port.
class listener_t {
  public:
    explicit listener_t(int backlog = 16)
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        struct sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t len = sizeof to;
        EXPECT_EQ(0, bind(fd_, (struct sockaddr *)&to, len));
        EXPECT_EQ(0, listen(fd_, backlog));
        EXPECT_EQ(0, getsockname(fd_, (struct sockaddr *)&to, &len));
        addr_ = "127.0.0.1:" + std::to_string(ntohs(to.sin_port));
    }
    ~listener_t()
    {
        stop();
    }
    listener_t(const listener_t &) = delete;
    listener_t &
    operator=(const listener_t &) = delete;
    const char *
    addr() const
    {
        return addr_.c_str();
    }
    void
    stop()
    {
        if (fd_ >= 0) {
            close(fd_);
        }
        fd_ = -1;
    }
    // Return: the next connection, or -1 if there is none in time.
    int
    accept_one()
    {
        int fd = -1;
        run_until([&] {
            fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            return fd >= 0;
        });
        return fd;
    }
    bool
    has_another()
    {
        int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            close(fd);
        }
        return fd >= 0;
    }

  private:
    int fd_;
    std::string addr_;
};

// Return: whether the other side has closed the connection @fd.
bool
is_closed(int fd)
{
    char bytes[4096];
    gssize n = recv(fd, bytes, sizeof bytes, 0);
    return n == 0 || (n < 0 && errno == ECONNRESET);
}

bool
received_request(int fd)
{
    char bytes[4096];
    gssize n = recv(fd, bytes, sizeof bytes, 0);
    return n > 4 && std::string(bytes + n - 4, 4) == "\r\n\r\n";
}

class OutboundTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        cq_outbound_ops_t ops = {on_event, this};
        outbound_ = cq_outbound_new(&ops);
        body_ = g_byte_array_new();
        head_ = g_string_new("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
        call_.attempt = 1;
        call_.upstream = 7;
        call_.incarnation = 3;
        call_.to_peer = TRUE;
        call_.addr = listener_.addr();
        call_.attempt_id = "9c";
        call_.method = "GET";
        call_.head = head_;
        call_.body = body_;
        call_.last_event = -1;
    }
    void
    TearDown() override
    {
        for (int fd : fds_) {
            close(fd);
        }
        cq_outbound_free(outbound_);
        g_byte_array_unref(body_);
        g_string_free(head_, TRUE);
    }
    static void
    on_event(const cq_event_t *event, void *data)
    {
        static_cast<OutboundTest *>(data)->events_.push_back(*event);
    }
    // Starts the next call.
    void
    send()
    {
        events_.clear();
        call_.request++;
        cq_outbound_send(outbound_, &call_);
    }
    int
    accept_one()
    {
        int fd = listener_.accept_one();
        fds_.push_back(fd);
        EXPECT_TRUE(run_until([&] { return received_request(fd); }));
        return fd;
    }
    void
    write(int fd, const std::string &text)
    {
        EXPECT_EQ((gssize)text.size(), ::write(fd, text.data(), text.size()));
    }
    static std::string
    answer(int status, const std::string &fields)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
               "Content-Length: 2\r\n\r\nab";
    }
    // Return: the event that ends the call.
    cq_event_t
    end()
    {
        EXPECT_TRUE(run_until([&] {
            return !events_.empty() && (events_.back().kind == CQ_EV_DONE ||
                                        events_.back().kind == CQ_EV_FAILED);
        }));
        return events_.empty() ? cq_event_t{} : events_.back();
    }
    bool
    reported(cq_event_kind_t kind)
    {
        for (const cq_event_t &event : events_) {
            if (event.kind == kind) {
                return true;
            }
        }
        return false;
    }
    gboolean
    sent_on_kept_conn()
    {
        EXPECT_TRUE(run_until([&] { return reported(CQ_EV_SENT); }));
        return !events_.empty() && events_[0].attempt.on_kept_conn;
    }

    listener_t listener_;
    cq_outbound_t *outbound_ = nullptr;
    GByteArray *body_ = nullptr;
    GString *head_ = nullptr;
    cq_outbound_call_t call_ = {};
    std::vector<cq_event_t> events_;
    std::vector<int> fds_;
};

TEST_F(OutboundTest, ACompleteAnswerOfAPeerIsDoneWhateverItsStatus)
{
    for (int status : {200, 404, 421, 429, 500, 502, 503, 504}) {
        call_.fresh = TRUE;
        send();
        int fd = accept_one();
        write(fd, answer(status, status == 200
                                     ? kSealed
                                     : "Retry-After: 1.25\r\n"
                                       "Content-Type: application/json\r\n"));
        cq_event_t event = end();
        EXPECT_EQ(CQ_EV_DONE, event.kind) << status;
        EXPECT_EQ(status, event.attempt.status);
        EXPECT_FALSE(reported(CQ_EV_UPSTREAM)) << status;
        cq_outbound_answer_t received;
        ASSERT_TRUE(cq_outbound_answer(outbound_, call_.request, call_.attempt,
                                       &received));
        ASSERT_NE(nullptr, received.head);
        EXPECT_EQ(status, received.head->status);
        EXPECT_EQ(2u, received.body->len);
        if (status != 200) {
            EXPECT_STREQ("1.25",
                         cq_h1_get_field(received.head, "Retry-After"));
        }
    }
}

TEST_F(OutboundTest, RefusalsOfAnUpstreamFail)
{
    call_.to_peer = FALSE;
    call_.fresh = TRUE;
    send();
    write(accept_one(),
          answer(503, std::string(kSealed) + "Retry-After: 1.25\r\n"));
    cq_event_t event = end();
    EXPECT_EQ(CQ_EV_FAILED, event.kind);
    EXPECT_EQ(CQ_FAIL_FAULT, event.attempt.failure);
    EXPECT_TRUE(reported(CQ_EV_UPSTREAM));
    send();
    write(accept_one(), answer(421, ""));
    event = end();
    EXPECT_EQ(CQ_EV_FAILED, event.kind);
    EXPECT_EQ(CQ_FAIL_MISDIRECTED, event.attempt.failure);
}

TEST_F(OutboundTest, AnAnswerOfAPeerThatIsNotForThisCallIsBroken)
{
    for (const std::string &text :
         {answer(200, ""), answer(503, "Cuminquay-Attempt-Id: 9d\r\n"),
          answer(200,
                 "Cuminquay-Replica-Seal: 1\r\nCuminquay-Attempt-Id: 9d\r\n"),
          answer(200, std::string(kSealed) + "Content-Encoding: gzip\r\n")}) {
        send();
        int fd = accept_one();
        write(fd, text);
        cq_event_t event = end();
        EXPECT_EQ(CQ_EV_FAILED, event.kind) << text;
        EXPECT_EQ(CQ_FAIL_BROKEN, event.attempt.failure) << text;
        EXPECT_TRUE(run_until([&] { return is_closed(fd); }));
    }
}

TEST_F(OutboundTest, AStreamOfAPeerThatEndsEarlyIsBroken)
{
    send();
    int fd = accept_one();
    write(fd, std::string("HTTP/1.1 200 OK\r\n") + kSealed +
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n"
                  "14\r\nid: 1\ndata: x\n\nid: 2\r\n");
    ASSERT_TRUE(run_until([&] { return reported(CQ_EV_TOKENS); }));
    cq_outbound_answer_t received;
    ASSERT_TRUE(cq_outbound_answer(outbound_, call_.request, call_.attempt,
                                   &received));
    EXPECT_EQ(
        "id: 1\ndata: x\n\n",
        std::string((const char *)received.body->data, received.body->len));
    shutdown(fd, SHUT_WR);
    cq_event_t event = end();
    EXPECT_EQ(CQ_EV_FAILED, event.kind);
    EXPECT_EQ(CQ_FAIL_BROKEN, event.attempt.failure);
}

// At each byte of the head, with a length, in chunks and with neither, after
// interim answers, on new connections and on those that carried an answer.
TEST_F(OutboundTest, AnAnswerOfAPeerThatEndsInItsHeadIsBroken)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    std::vector<std::string> heads;
    for (const char *framing :
         {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        heads.push_back(std::string("HTTP/1.1 200 OK\r\n") + kSealed +
                        framing + "\r\n");
        heads.push_back(interim + heads.back());
    }
    for (const std::string &head : heads) {
        for (size_t len = 0; len < 2 * head.size(); len++) {
            if (len % 2 == 0) { /* a kept connection */
                call_.fresh = FALSE;
                call_.upstream++;
                send();
                write(accept_one(), answer(200, kSealed));
                EXPECT_EQ(CQ_EV_DONE, end().kind);
            }
            send();
            int fd = len % 2 == 0 ? fds_.back() : accept_one();
            if (len % 2 == 0) {
                EXPECT_TRUE(run_until([&] { return received_request(fd); }));
            }
            std::string text = head.substr(0, len / 2);
            if (!text.empty()) {
                write(fd, text);
            }
            shutdown(fd, SHUT_WR);
            cq_event_t event = end();
            EXPECT_EQ(CQ_EV_FAILED, event.kind) << text;
            EXPECT_EQ(CQ_FAIL_BROKEN, event.attempt.failure) << text;
            EXPECT_FALSE(reported(CQ_EV_TOKENS)) << text;
        }
    }
}

TEST_F(OutboundTest, ARefusalCannotContinueAStream)
{
    call_.last_event = 4;
    send();
    write(accept_one(), answer(503, ""));
    cq_event_t event = end();
    EXPECT_EQ(CQ_EV_FAILED, event.kind);
    EXPECT_EQ(CQ_FAIL_BROKEN, event.attempt.failure);
}

TEST_F(OutboundTest, StopClosesTheConnectionToAPeer)
{
    send();
    int fd = accept_one();
    cq_outbound_stop(outbound_, call_.request, call_.attempt);
    EXPECT_TRUE(run_until([&] { return is_closed(fd); }));
    EXPECT_FALSE(reported(CQ_EV_FAILED));
}

TEST_F(OutboundTest, APeerThatRefusesTheConnectionHasNotGotTheRequest)
{
    listener_.stop();
    send();
    cq_event_t event = end();
    EXPECT_EQ(CQ_EV_FAILED, event.kind);
    EXPECT_EQ(CQ_FAIL_CONNECT, event.attempt.failure);
    EXPECT_FALSE(reported(CQ_EV_SENT));
}

TEST_F(OutboundTest, ConnectionsToAPeerAreUsedAgainUnlessFreshOnesAreNeeded)
{
    for (gboolean to_peer : {1, 0}) {
        call_.to_peer = to_peer;
        call_.fresh = FALSE;
        call_.upstream++;
        send();
        EXPECT_FALSE(sent_on_kept_conn());
        int first = accept_one();
        write(first, answer(200, kSealed));
        EXPECT_EQ(CQ_EV_DONE, end().kind);

        send();
        EXPECT_TRUE(sent_on_kept_conn());
        EXPECT_TRUE(run_until([&] { return received_request(first); }));
        write(first, answer(200, kSealed));
        EXPECT_EQ(CQ_EV_DONE, end().kind);

        call_.fresh = TRUE;
        send();
        EXPECT_FALSE(sent_on_kept_conn());
        int second = accept_one();
        write(second, answer(200, kSealed));
        EXPECT_EQ(CQ_EV_DONE, end().kind);
    }
}

TEST_F(OutboundTest, ThePeersFreshConnectionIsClosedAfterItsAnswer)
{
    call_.fresh = TRUE;
    send();
    int fd = accept_one();
    write(fd, answer(200, kSealed));
    EXPECT_EQ(CQ_EV_DONE, end().kind);
    EXPECT_TRUE(run_until([&] { return is_closed(fd); }));
}

TEST_F(OutboundTest, AConnectionToAPeerIsNotUsedForAnUpstream)
{
    send();
    write(accept_one(), answer(200, kSealed));
    EXPECT_EQ(CQ_EV_DONE, end().kind);
    call_.to_peer = FALSE;
    send();
    EXPECT_FALSE(sent_on_kept_conn());
}

TEST_F(OutboundTest, IdleConnectionsToAPeerAreKeptForTwoSeconds)
{
    send();
    int fd = accept_one();
    write(fd,
          answer(200, std::string(kSealed) + "Keep-Alive: timeout=60\r\n"));
    EXPECT_EQ(CQ_EV_DONE, end().kind);
    g_usleep(2 * CQ_SECOND_US);
    cq_outbound_close_expired(outbound_);
    EXPECT_TRUE(run_until([&] { return is_closed(fd); }));
}

class ReachTest : public testing::Test {
  protected:
    void
    SetUp() override
    {
        cq_reachprobe_ops_t ops = {on_event, this};
        reachprobe_ = cq_reachprobe_new(&ops);
    }
    void
    TearDown() override
    {
        if (reachprobe_ != nullptr) {
            cq_reachprobe_free(reachprobe_);
        }
    }
    static void
    on_event(const cq_event_t *event, void *data)
    {
        EXPECT_EQ(CQ_EV_REACHED, event->kind);
        static_cast<ReachTest *>(data)->reached_.push_back(event->reached);
    }
    void
    open(guint64 upstream, const char *addr, gint64 timeout_us = kWaitUs)
    {
        cq_ac_reach_t reach = {upstream, timeout_us, CQ_REACH_CUT};
        cq_reachprobe_open(reachprobe_, &reach, addr);
    }
    // Return: the only event.
    cq_ev_reached_t
    result()
    {
        EXPECT_TRUE(run_until([&] { return !reached_.empty(); }));
        EXPECT_EQ(1u, reached_.size());
        return reached_.empty() ? cq_ev_reached_t{} : reached_[0];
    }

    cq_reachprobe_t *reachprobe_ = nullptr;
    std::vector<cq_ev_reached_t> reached_;
};

// A listener whose queue is full: further connections don't open.
class full_listener_t {
  public:
    full_listener_t() : listener_(0)
    {
        int port = std::stoi(strrchr(listener_.addr(), ':') + 1);
        struct sockaddr_in to = {};
        to.sin_family = AF_INET;
        to.sin_port = htons((uint16_t)port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        for (int &fd : fds_) {
            fd =
                socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            connect(fd, (struct sockaddr *)&to, sizeof to);
        }
    }
    ~full_listener_t()
    {
        for (int fd : fds_) {
            close(fd);
        }
    }
    full_listener_t(const full_listener_t &) = delete;
    full_listener_t &
    operator=(const full_listener_t &) = delete;
    const char *
    addr() const
    {
        return listener_.addr();
    }

  private:
    listener_t listener_;
    int fds_[4];
};

TEST_F(ReachTest, AConnectionThatOpensIsReportedAndClosed)
{
    listener_t listener;
    open(5, listener.addr());
    cq_ev_reached_t reached = result();
    EXPECT_EQ(5u, reached.upstream);
    EXPECT_TRUE(reached.opened);
    int fd = listener.accept_one();
    EXPECT_TRUE(run_until([&] { return is_closed(fd); }));
    close(fd);
}

TEST_F(ReachTest, ARefusedConnectionIsReportedBeforeTheTimeLimit)
{
    std::string addr;
    {
        listener_t listener;
        addr = listener.addr();
    }
    open(5, addr.c_str(), 3600 * CQ_SECOND_US);
    EXPECT_FALSE(result().opened);
}

TEST_F(ReachTest, AnUpstreamWithoutAUsableAddressIsNotReached)
{
    open(5, nullptr);
    EXPECT_FALSE(result().opened);
    reached_.clear();
    open(6, "nowhere");
    EXPECT_FALSE(result().opened);
}

TEST_F(ReachTest, AConnectionThatDoesNotOpenIsReportedAfterTheTimeLimit)
{
    full_listener_t full;
    gint64 start_us = g_get_monotonic_time();
    open(5, full.addr(), 50 * CQ_MS_US);
    EXPECT_FALSE(result().opened);
    EXPECT_GE(g_get_monotonic_time() - start_us, 50 * CQ_MS_US);
}

TEST_F(ReachTest, ABoundedNumberIsOpenedAtATimeAndNoneIsReportedAfterTheEnd)
{
    full_listener_t full;
    for (guint i = 0; i < CQ_REACH_PROBES_MAX; i++) {
        open(i, full.addr(), 3600 * CQ_SECOND_US);
    }
    EXPECT_EQ(0u, reached_.size());
    open(CQ_REACH_PROBES_MAX, full.addr(), 3600 * CQ_SECOND_US);
    EXPECT_EQ((guint64)CQ_REACH_PROBES_MAX, result().upstream);
    EXPECT_FALSE(result().opened);
    cq_reachprobe_free(reachprobe_);
    reachprobe_ = nullptr;
    while (g_main_context_iteration(nullptr, FALSE)) {
    }
    EXPECT_EQ(1u, reached_.size());
}

} // namespace
