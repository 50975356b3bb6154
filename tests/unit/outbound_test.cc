// Which answers of an upstream a call believes: upstreams that write an
// earlier answer once more, and that go on with a stream that another one
// began.
#include <gtest/gtest.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "http/sock.h"
#include "router/outbound.h"
#include "loopback.h"

namespace {

using loopback::run_until;

const std::string kSeal = "Cuminquay-Replica-Seal: s\r\n";
const std::string kNotRun = "Cuminquay-Not-Executed: 1\r\n";

std::string
id_field(const std::string &id)
{
    return "Cuminquay-Attempt-Id: " + id + "\r\n";
}

std::string
answer(const std::string &status, const std::string &fields,
       const std::string &body = "")
{
    return "HTTP/1.1 " + status + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

std::string
chunk(const std::string &text)
{
    char size[16];
    g_snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string
event(int id)
{
    return chunk("id: " + std::to_string(id) + "\ndata: x\n\n");
}

class Outbound : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        listener = loopback::listen_at(&address);
        ASSERT_GE(listener, 0);
        cq_outbound_ops_t ops = {};
        ops.post = [](const cq_event_t *posted, void *data) {
            auto *test = static_cast<Outbound *>(data);
            test->events.push_back(*posted);
            if (test->on_posted) {
                test->on_posted(*posted);
            }
        };
        ops.data = this;
        outbound = cq_outbound_new(&ops);
    }
    void
    TearDown() override
    {
        cq_outbound_free(outbound);
        for (int fd : conns) {
            close(fd);
        }
        close(listener);
    }
    void
    send(guint64 request, const char *id)
    {
        GString *head = g_string_new("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        GByteArray *body = g_byte_array_new();
        cq_outbound_call_t call = {};
        call.request = request;
        call.attempt = 1;
        call.upstream = 1;
        call.addr = address.c_str();
        call.incarnation = 1;
        call.fresh = fresh;
        call.conditional = conditional;
        call.attempt_id = id;
        call.method = "GET";
        call.head = head;
        call.body = body;
        call.last_event = last_event;
        cq_outbound_send(outbound, &call);
        g_string_free(head, TRUE);
        g_byte_array_unref(body);
    }
    // Return: the upstream's end of the newest connection, once a further
    // request has arrived there.
    int
    next_request()
    {
        int found = -1;
        EXPECT_TRUE(run_until([&] {
            int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
            if (fd >= 0) {
                conns.push_back(fd);
            }
            for (int conn : conns) {
                char bytes[4096];
                if (recv(conn, bytes, sizeof bytes, 0) > 0) {
                    found = conn;
                }
            }
            return found >= 0;
        }));
        return found;
    }
    void
    reply(int conn, const std::string &bytes)
    {
        ASSERT_EQ(write(conn, bytes.data(), bytes.size()),
                  (gssize)bytes.size());
    }
    const cq_event_t *
    last_event_of(guint64 request, cq_event_kind_t kind)
    {
        for (auto it = events.rbegin(); it != events.rend(); ++it) {
            if (it->kind == kind && it->attempt.request == request) {
                return &*it;
            }
        }
        return nullptr;
    }
    // Waits for the end of the call. Return: "done" or how it failed.
    std::string
    outcome(guint64 request)
    {
        static const char *const names[] = {
            "connect", "refused",     "leaving", "broken",
            "fault",   "misdirected", "no_room"};
        EXPECT_TRUE(run_until([&] {
            return last_event_of(request, CQ_EV_DONE) != nullptr ||
                   last_event_of(request, CQ_EV_FAILED) != nullptr;
        }));
        const cq_event_t *failed = last_event_of(request, CQ_EV_FAILED);
        return failed != nullptr ? names[failed->attempt.failure] : "done";
    }
    // A call that is answered; its connection is kept. Return: the upstream's
    // end.
    int
    keep_connection()
    {
        send(1, "a1");
        int conn = next_request();
        reply(conn, answer("200", id_field("a1") + kSeal, "first"));
        EXPECT_EQ(outcome(1), "done");
        return conn;
    }
    // The outcome of a call on a kept connection that is answered so.
    std::string
    outcome_on_kept(const std::string &bytes)
    {
        int kept = keep_connection();
        send(2, "a2");
        EXPECT_EQ(next_request(), kept);
        reply(kept, bytes);
        return outcome(2);
    }
    // The outcome of a call on a new connection that is answered so.
    std::string
    outcome_on_new(const std::string &bytes)
    {
        send(2, "a2");
        int conn = next_request();
        reply(conn, bytes);
        return outcome(2);
    }
    bool
    pause_reported() const
    {
        for (const cq_event_t &one : events) {
            if (one.kind == CQ_EV_UPSTREAM && one.upstream.pause_us > 0) {
                return true;
            }
        }
        return false;
    }
    // Events of a stream that were passed on.
    std::string
    passed_on(guint64 request)
    {
        cq_outbound_answer_t received = {};
        if (!cq_outbound_answer(outbound, request, 1, &received)) {
            return "";
        }
        return std::string((const char *)received.body->data,
                           received.body->len);
    }

    int listener = -1;
    std::string address;
    std::vector<int> conns;
    cq_outbound_t *outbound = nullptr;
    std::vector<cq_event_t> events;
    std::function<void(const cq_event_t &)> on_posted;
    gboolean fresh = FALSE;
    gboolean conditional = FALSE;
    gint64 last_event = -1;
};

class LateRefusal : public Outbound {};

TEST_F(LateRefusal, WithAnotherIdIsNotBelieved)
{
    EXPECT_EQ(outcome_on_kept(answer("503", id_field("a1") + kNotRun)),
              "broken");
}

TEST_F(LateRefusal, WithoutAnIdIsNotBelievedOnAKeptConnection)
{
    EXPECT_EQ(outcome_on_kept(answer("503", kNotRun)), "broken");
}

TEST_F(LateRefusal, WithStatus421AndWithoutAnIdIsNotBelievedThere)
{
    EXPECT_EQ(outcome_on_kept(answer("421", "")), "broken");
}

TEST_F(LateRefusal, WithoutAnIdSaysNothingOfItsUpstreamThere)
{
    outcome_on_kept(answer("503", kNotRun + "Retry-After: 3\r\n"));
    EXPECT_FALSE(pause_reported());
}

TEST_F(LateRefusal, IsBelievedIfItEchoesTheIdOfTheRequest)
{
    EXPECT_EQ(outcome_on_kept(answer("503", id_field("a2") + kNotRun)),
              "refused");
}

TEST_F(LateRefusal, IsBelievedWithoutAnIdOnANewConnection)
{
    EXPECT_EQ(outcome_on_new(answer("503", kNotRun)), "refused");
}

TEST_F(LateRefusal, WithAnotherIdIsNotBelievedOnANewConnectionEither)
{
    EXPECT_EQ(outcome_on_new(answer("503", id_field("a1") + kNotRun)),
              "broken");
}

// The caller names a version of the weights that this upstream doesn't have.
TEST_F(Outbound, A421ToAConditionOfTheCallerSaysNothingOfItsUpstream)
{
    conditional = TRUE;
    EXPECT_EQ(outcome_on_new(answer("421", id_field("a2") + kNotRun)),
              "refused");
    EXPECT_EQ(last_event_of(2, CQ_EV_UPSTREAM), nullptr);
}

TEST_F(Outbound, A421WithoutAConditionIsOfAnotherUpstreamAtTheAddress)
{
    EXPECT_EQ(outcome_on_new(answer("421", id_field("a2") + kNotRun)),
              "misdirected");
}

TEST_F(LateRefusal, InTheSameReadAsTheEndOfAnAnswerEndsTheConnection)
{
    // The next request is sent as soon as the answer is complete.
    on_posted = [this](const cq_event_t &posted) {
        if (posted.kind == CQ_EV_DONE && posted.attempt.request == 1) {
            send(2, "a2");
        }
    };
    send(1, "a1");
    int first = next_request();
    reply(first, answer("200", id_field("a1") + kSeal, "first") +
                     answer("503", kNotRun));
    int second = next_request();
    EXPECT_NE(second, first);
    reply(second, answer("200", id_field("a2") + kSeal, "second"));
    EXPECT_EQ(outcome(1), "done");
    EXPECT_EQ(outcome(2), "done");
}

TEST_F(LateRefusal, BeforeTheNextRequestEndsTheConnection)
{
    int kept = keep_connection();
    reply(kept, answer("503", kNotRun));
    char byte;
    ASSERT_TRUE(run_until([&] {
        gssize n = recv(kept, &byte, 1, 0);
        return n == 0 || (n < 0 && errno != EAGAIN);
    }));
    send(2, "a2");
    EXPECT_NE(next_request(), kept);
}

class LateAnswer : public Outbound {};

TEST_F(LateAnswer, WithoutAnIdIsNotBelievedOnAKeptConnection)
{
    EXPECT_EQ(outcome_on_kept(answer("200", kSeal, "first")), "broken");
}

TEST_F(LateAnswer, WithoutAnIdIsBelievedOnANewConnection)
{
    EXPECT_EQ(outcome_on_new(answer("200", kSeal, "own")), "done");
}

TEST_F(LateAnswer, CannotMeetARequestWithoutAnId)
{
    int kept = keep_connection();
    send(2, nullptr);
    int conn = next_request();
    EXPECT_NE(conn, kept);
    reply(conn, answer("200", kSeal, "second"));
    EXPECT_EQ(outcome(2), "done");
}

// Callers take these statuses to mean that the request did not run.
class UnprovenPromise : public Outbound,
                        public ::testing::WithParamInterface<const char *> {};

TEST_P(UnprovenPromise, IsNotPassedOnIfTheRequestMayRunOnce)
{
    fresh = TRUE;
    EXPECT_EQ(outcome_on_new(answer(GetParam(), id_field("a2"))), "broken");
}

INSTANTIATE_TEST_SUITE_P(All, UnprovenPromise,
                         ::testing::Values("408", "429", "503"));

// The caller has the events up to 3.
class Resumed : public Outbound {
  protected:
    std::string
    resume(const std::string &bytes)
    {
        last_event = 3;
        return outcome_on_new(bytes);
    }
    static std::string
    stream_head()
    {
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
               id_field("a2") + kSeal + "Transfer-Encoding: chunked\r\n\r\n";
    }
};

TEST_F(Resumed, ByAnythingButAStreamIsBroken)
{
    const std::string id = id_field("a2");
    const std::string type = "Content-Type: text/event-stream\r\n";
    for (const std::string &bytes : {
             answer("200", id + kSeal, "error"),
             answer("200", id + type, "id: 4\ndata: error\n\n"),
             answer("404", id + kSeal, "error"),
             answer("404", id + kSeal + type, "id: 4\ndata: error\n\n"),
             answer("500", id + kSeal, "error"),
             answer("500", id + kSeal + type, "id: 4\ndata: error\n\n"),
             "HTTP/1.1 500 X\r\n" + id + kSeal +
                 "Transfer-Encoding: chunked\r\n\r\n" + event(4) + "0\r\n\r\n",
             "HTTP/1.1 204 X\r\n" + id + kSeal + "\r\n",
             "HTTP/1.1 204 X\r\n" + id + kSeal + type + "\r\n",
             "HTTP/1.1 304 X\r\n" + id + kSeal + type + "\r\n",
             "HTTP/1.1 304 X\r\n" + id + kSeal + "\r\n",
             "HTTP/1.1 103 X\r\n\r\n" + answer("404", id + kSeal, "error"),
             "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" +
                 answer("404", id + kSeal, "error"),
         }) {
        events.clear();
        EXPECT_EQ(resume(bytes), "broken") << bytes;
        EXPECT_EQ(last_event_of(2, CQ_EV_TOKENS), nullptr) << bytes;
        cq_outbound_remove(outbound, 2);
    }
}

TEST_F(Resumed, PassesOnlyLaterEventsOn)
{
    EXPECT_EQ(resume(stream_head() + event(1) + event(3) + event(4) +
                     event(5) + "0\r\n\r\n"),
              "done");
    EXPECT_EQ(passed_on(2), "id: 4\ndata: x\n\nid: 5\ndata: x\n\n");
}

TEST_F(Resumed, GoesOnAfterAnInterimAnswerAndWithATrailer)
{
    EXPECT_EQ(resume("HTTP/1.1 100 X\r\n\r\n" + stream_head() + event(4) +
                     "0\r\nX-Trailer: error\r\n\r\n"),
              "done");
    EXPECT_EQ(passed_on(2), "id: 4\ndata: x\n\n");
}

TEST_F(Resumed, ThatBreaksOffInAnEventIsBroken)
{
    last_event = 3;
    send(2, "a2");
    int conn = next_request();
    reply(conn, stream_head() + event(4) + chunk("id: 5\nda") + "0\r\n\r\n");
    EXPECT_EQ(outcome(2), "broken");
    EXPECT_EQ(passed_on(2), "id: 4\ndata: x\n\n");
}

TEST_F(Resumed, WithEventsThatHaveNoIdIsBroken)
{
    EXPECT_EQ(resume(stream_head() + chunk("data: x\n\n") + "0\r\n\r\n"),
              "broken");
    EXPECT_EQ(passed_on(2), "");
}

TEST_F(Resumed, AnEventWithoutAnIdIsReportedAsSuch)
{
    EXPECT_EQ(outcome_on_new(stream_head() + event(1) + chunk("data: x\n\n") +
                             "0\r\n\r\n"),
              "done");
    const cq_event_t *tokens = last_event_of(2, CQ_EV_TOKENS);
    ASSERT_NE(tokens, nullptr);
    EXPECT_TRUE(tokens->attempt.unnumbered);
}

// The request didn't run, and another upstream gets it later; nothing is said
// of this one.
TEST_F(Outbound, ALackOfDescriptorsIsNotTheUpstreamsFault)
{
    rlimit before = {};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
    rlimit none = before;
    none.rlim_cur = 3;
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
    send(1, "a");
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
    ASSERT_TRUE(run_until([this] { return !events.empty(); }));
    EXPECT_EQ(events.size(), 1u);
    EXPECT_EQ(events[0].kind, CQ_EV_FAILED);
    EXPECT_EQ(events[0].attempt.failure, CQ_FAIL_REFUSED);
}

// Answers that wait for callers who hardly read take the room of the next
// large one; a small one always finds some.
TEST_F(Outbound, ALargeAnswerFindsNoRoomBesideThoseOfSlowCallers)
{
    std::string slow_address;
    int slow_listener = loopback::listen_at(&slow_address);
    cq_sock_ops_t ops = {};
    ops.ended = [](void *, cq_sock_end_t) {};
    cq_sock_t *slow = cq_sock_connect(slow_address.c_str(), &ops);
    ASSERT_TRUE(run_until([&] { return cq_sock_is_open(slow); }));
    std::string held(CQ_ALL_ANSWERS_BYTES_MAX, 'x');
    cq_sock_write(slow, held.data(), held.size());
    send(2, "a2");
    int conn = next_request();
    std::string bytes =
        answer("200", id_field("a2") + kSeal, std::string(8 << 20, 'x'));
    size_t sent = 0;
    ASSERT_TRUE(run_until([&] {
        gssize n = ::send(conn, bytes.data() + sent, bytes.size() - sent,
                          MSG_DONTWAIT | MSG_NOSIGNAL);
        sent += n > 0 ? (size_t)n : 0;
        g_main_context_iteration(nullptr, FALSE);
        return sent == bytes.size() || !events.empty();
    }));
    EXPECT_EQ(outcome(2), "no_room");
    events.clear();
    cq_outbound_remove(outbound, 2);
    EXPECT_EQ(outcome_on_new(answer("200", id_field("a2") + kSeal, "small")),
              "done");
    cq_sock_abort(slow);
    close(slow_listener);
}

// Each post is a step of the core, and a read has room for thousands of
// chunks.
TEST_F(Outbound, TheEventsOfOneReadArePassedOnTogether)
{
    std::string bytes = "HTTP/1.1 200 X\r\n" + id_field("a2") + kSeal +
                        "Content-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
    for (int id = 1; id <= 500; id++) {
        bytes += event(id);
    }
    EXPECT_EQ(outcome_on_new(bytes + chunk("")), "done");
    gint64 tokens = 0, posts = 0;
    for (const cq_event_t &one : events) {
        tokens += one.kind == CQ_EV_TOKENS ? one.attempt.tokens : 0;
        posts += one.kind == CQ_EV_TOKENS;
    }
    EXPECT_EQ(tokens, 500);
    EXPECT_LE(posts, 5);
}

// An upstream that stops in its answer's head, at each byte of it, and closes.
class TornHead : public Outbound {
  protected:
    static std::vector<std::string>
    heads()
    {
        const std::string fields = id_field("a2") + kSeal;
        const std::string interim =
            "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
        const std::string length =
            "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\n";
        const std::string chunked =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + fields +
            "Transfer-Encoding: chunked\r\n\r\n";
        const std::string neither = "HTTP/1.1 200 OK\r\n" + fields + "\r\n";
        return {length, chunked, neither, interim + length,
                interim + "HTTP/1.1 100 Continue\r\n\r\n" + chunked};
    }
    void
    end_connection(int conn, bool reset)
    {
        if (reset) {
            struct linger none = {1, 0};
            setsockopt(conn, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        }
        close(conn);
        conns.erase(std::find(conns.begin(), conns.end(), conn));
    }
    void
    expect_broken(const std::string &head, bool on_kept, bool reset)
    {
        for (size_t len = 0; len < head.size(); len++) {
            int kept = on_kept ? keep_connection() : -1;
            send(2, "a2");
            int conn = next_request();
            ASSERT_TRUE(!on_kept || conn == kept);
            if (len > 0) {
                reply(conn, head.substr(0, len));
            }
            end_connection(conn, reset);
            EXPECT_EQ(outcome(2), "broken") << head.substr(0, len);
            EXPECT_EQ(last_event_of(2, CQ_EV_TOKENS), nullptr);
            EXPECT_EQ(passed_on(2), "");
            events.clear();
            cq_outbound_remove(outbound, 1);
            cq_outbound_remove(outbound, 2);
        }
    }
};

TEST_F(TornHead, OnANewConnectionIsBroken)
{
    for (const std::string &head : heads()) {
        expect_broken(head, false, false);
        expect_broken(head, false, true);
    }
}

TEST_F(TornHead, AfterAWholeAnswerOnAKeptConnectionIsBroken)
{
    for (const std::string &head : heads()) {
        expect_broken(head, true, false);
        expect_broken(head, true, true);
    }
}

TEST_F(TornHead, OfAnInterimAnswerOnlyIsBroken)
{
    for (const char *status : {"100", "102", "103", "199"}) {
        events.clear();
        send(2, "a2");
        int conn = next_request();
        reply(conn, std::string("HTTP/1.1 ") + status + " X\r\n" +
                        id_field("a2") + kSeal + "\r\n");
        end_connection(conn, false);
        EXPECT_EQ(outcome(2), "broken") << status;
        cq_outbound_remove(outbound, 2);
    }
}

// RFC 9110, 15.2: an interim answer ends with its head.
class InterimWithFraming : public Outbound,
                           public ::testing::WithParamInterface<const char *> {
};

TEST_P(InterimWithFraming, DoesNotTakeTheAnswersBytes)
{
    EXPECT_EQ(outcome_on_new(std::string("HTTP/1.1 103 X\r\n") + GetParam() +
                             "\r\n" +
                             answer("200", id_field("a2") + kSeal, "whole")),
              "done");
    EXPECT_EQ(passed_on(2), "whole");
}

INSTANTIATE_TEST_SUITE_P(All, InterimWithFraming,
                         ::testing::Values("Content-Length: 0\r\n",
                                           "Content-Length: 5\r\n",
                                           "Content-Length: 100\r\n",
                                           "Transfer-Encoding: chunked\r\n"));

} // namespace
