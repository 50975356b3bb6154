// Memory that is set aside for requests at engines that answer late or not at
// all.
#include <gtest/gtest.h>

#include <unistd.h>

#include <functional>
#include <list>
#include <string>
#include <vector>

#include "http/sock.h"
#include "router/reservations.h"

namespace {

// An engine drops memory by itself this long after an order to set it aside.
constexpr gint64 kHoldUs = 3 * G_USEC_PER_SEC;

struct conn;

// An engine that carries some orders out late, without an answer.
class Reservations : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        cq_error_t error = {};
        for (int port = 21000; listener == 0 && port < 32000; port++) {
            g_snprintf(addr, sizeof addr, "127.0.0.1:%d", port);
            listener = cq_sock_listen(addr, on_accepted, this, &error);
        }
        ASSERT_NE(listener, 0u);
        cq_reservations_ops_t ops = {};
        ops.post = [](const cq_event_t *event, void *data) {
            auto *test = static_cast<Reservations *>(data);
            if (event->kind == CQ_EV_INSPECTED) {
                test->inspected.push_back(event->inspected);
            }
        };
        ops.data = this;
        reservations = cq_reservations_new(&ops);
        memory.request = 1;
        memory.upstream = 2;
        memory.tokens = 100;
    }
    void
    TearDown() override;
    static void
    on_accepted(int fd, void *data);
    void
    on_order(conn *from, const std::string &text);
    void
    write_endless();
    void
    run(int ms)
    {
        gint64 until_us = g_get_monotonic_time() + ms * 1000;
        while (g_get_monotonic_time() < until_us) {
            g_main_context_iteration(nullptr, FALSE);
            write_endless();
            g_usleep(2 * 1000);
            gint64 now_us = g_get_monotonic_time();
            if (late_us != 0 && now_us >= late_us) {
                late_us = 0;
                held_until_us = now_us + kHoldUs;
            }
            if (now_us < held_until_us) {
                last_held_us = now_us;
            }
        }
    }

    char addr[32] = "";
    guint listener = 0;
    cq_reservations_t *reservations = nullptr;
    cq_ac_memory_t memory = {};
    std::list<conn *> conns;
    bool mute = false;
    int reserves = 0;
    int releases = 0;
    // When the order without an answer is carried out.
    gint64 late_us = 0;
    gint64 held_until_us = 0;
    gint64 last_held_us = 0;
    gint64 first_release_us = 0;
    // The engine's answers never end; the bytes that it has sent of them.
    bool endless = false;
    size_t endless_bytes = 0;
    // What the engine reports of itself, and what was read of it.
    std::string report;
    std::vector<cq_ev_inspected_t> inspected;
};

struct conn {
    Reservations *engine;
    cq_sock_t *sock;
    bool ended = false;
    bool endless = false; // writes bytes until the connection ends
    std::function<void(const std::string &)> order;
};

void
Reservations::on_accepted(int fd, void *data)
{
    auto *engine = static_cast<Reservations *>(data);
    auto *from = new conn{engine, nullptr, false, false, nullptr};
    from->order = [engine, from](const std::string &text) {
        engine->on_order(from, text);
    };
    cq_sock_ops_t ops = {};
    ops.received = [](void *own, const char *bytes, gsize len) {
        static_cast<conn *>(own)->order(std::string(bytes, len));
    };
    ops.ended = [](void *own, cq_sock_end_t) {
        auto *ended = static_cast<conn *>(own);
        ended->ended = true;
        cq_sock_abort(ended->sock);
    };
    ops.data = from;
    from->sock = cq_sock_from_fd(fd, &ops);
    engine->conns.push_back(from);
}

void
Reservations::on_order(conn *from, const std::string &text)
{
    const std::string done = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    if (endless) {
        const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
        cq_sock_write(from->sock, head.data(), head.size());
        from->endless = true;
        return;
    }
    if (text.find("GET /v1/report ") == 0) {
        std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(report.size()) + "\r\n\r\n" +
                             report;
        cq_sock_write(from->sock, answer.data(), answer.size());
        return;
    }
    bool release = text.find("\"op\":\"release\"") != std::string::npos;
    releases += release;
    reserves += !release;
    if (release) {
        held_until_us = 0;
        if (first_release_us == 0) {
            first_release_us = g_get_monotonic_time();
        }
    }
    else if (mute) {
        return;
    }
    else {
        held_until_us = g_get_monotonic_time() + kHoldUs;
    }
    cq_sock_write(from->sock, done.data(), done.size());
}

void
Reservations::write_endless()
{
    static const std::string bytes(1 << 20, 'x');
    for (conn *one : conns) {
        if (one->endless && !one->ended &&
            cq_sock_unwritten_bytes(one->sock) == 0) {
            cq_sock_write(one->sock, bytes.data(), bytes.size());
            endless_bytes += bytes.size();
        }
    }
}

void
Reservations::TearDown()
{
    cq_reservations_free(reservations);
    for (conn *one : conns) {
        if (!one->ended) {
            cq_sock_abort(one->sock);
        }
        delete one;
    }
    g_source_remove(listener);
}

TEST_F(Reservations, AnOrderThatIsCarriedOutLateKeepsNoMemoryForLong)
{
    cq_upstream_view_t engine = {};
    engine.addr = addr;
    cq_reservations_add(reservations, &memory, &engine);
    run(200);
    ASSERT_EQ(reserves, 1);
    mute = true;
    run(1500);
    ASSERT_EQ(reserves, 2);
    cq_reservations_release(reservations, &memory);
    run(100);
    ASSERT_EQ(releases, 1);
    // The renewal is carried out after the release was answered.
    late_us = g_get_monotonic_time() + 300 * 1000;
    run(3500);
    gint64 held_ms = (last_held_us - first_release_us) / 1000;
    EXPECT_GE(held_ms, 300);
    EXPECT_LE(held_ms, 1800);
}

TEST_F(Reservations, AnEngineSaysWhetherTheMemoryIsInUse)
{
    cq_upstream_view_t engine = {};
    engine.addr = addr;
    cq_reservations_add(reservations, &memory, &engine);
    std::string id =
        cq_reservations_id(reservations, memory.request, memory.upstream);
    struct {
        std::string tickets;
        cq_memory_use_t use;
    } const cases[] = {
        {"[]", CQ_MEMORY_NONE},
        {"[{\"id\":\"other\",\"state\":\"used\"}]", CQ_MEMORY_NONE},
        {"[{\"id\":\"other\",\"state\":\"used\"},{\"id\":\"" + id +
             "\",\"state\":\"held\",\"age_ms\":700}]",
         CQ_MEMORY_HELD},
        {"[{\"id\":\"" + id + "\",\"state\":\"used\"}]", CQ_MEMORY_USED},
        {"[{\"id\":\"" + id + "\",\"state\":\"waiting\"}]", CQ_MEMORY_WAITING},
        {"[{\"id\":\"" + id + "\",\"state\":7}]", CQ_MEMORY_UNKNOWN},
        {"[7,null,{\"id\":[]}]", CQ_MEMORY_NONE},
        {"{}", CQ_MEMORY_UNKNOWN},
        {"[", CQ_MEMORY_UNKNOWN},
    };
    for (const auto &one : cases) {
        inspected.clear();
        report = "{\"waiting\":3,\"running\":4,\"kv_used\":50,"
                 "\"kv_total\":60,\"tickets\":" +
                 one.tickets + "}";
        cq_reservations_inspect(reservations, &memory);
        run(100);
        ASSERT_EQ(inspected.size(), 1u) << one.tickets;
        EXPECT_EQ(inspected[0].request, memory.request);
        EXPECT_EQ(inspected[0].upstream, memory.upstream);
        EXPECT_EQ(inspected[0].report.use, one.use) << one.tickets;
        if (one.use == CQ_MEMORY_HELD) {
            EXPECT_EQ(inspected[0].report.age_us, 700 * 1000);
            EXPECT_EQ(inspected[0].report.waiting, 3);
            EXPECT_EQ(inspected[0].report.running, 4);
            EXPECT_EQ(inspected[0].report.used_tokens, 50);
            EXPECT_EQ(inspected[0].report.memory_tokens, 60);
        }
    }
}

TEST_F(Reservations, AnEngineWithoutAReportSaysNothingOfTheMemory)
{
    cq_upstream_view_t engine = {};
    engine.addr = addr;
    cq_reservations_add(reservations, &memory, &engine);
    run(50);
    for (conn *one : conns) {
        cq_sock_abort(one->sock);
        one->ended = true;
    }
    g_source_remove(listener);
    listener = cq_sock_listen(
        addr, [](int fd, void *) { close(fd); }, nullptr, nullptr);
    cq_reservations_inspect(reservations, &memory);
    run(600);
    ASSERT_EQ(inspected.size(), 1u);
    EXPECT_EQ(inspected[0].report.use, CQ_MEMORY_UNKNOWN);
}

// The load: an engine in trouble answers with bytes without end. The host may
// have hundreds of reservations.
TEST_F(Reservations, AnAnswerWithoutEndIsBrokenOff)
{
    cq_upstream_view_t engine = {};
    engine.addr = addr;
    cq_reservations_add(reservations, &memory, &engine);
    run(50);
    endless = true;
    cq_reservations_inspect(reservations, &memory);
    run(350);
    /* Besides, what the kernel holds of a connection. */
    EXPECT_LE(endless_bytes, 8u << 20) << "bytes that the engine could send";
    ASSERT_EQ(inspected.size(), 1u) << "the call goes on";
    EXPECT_EQ(inspected[0].report.use, CQ_MEMORY_UNKNOWN);
}

} // namespace
