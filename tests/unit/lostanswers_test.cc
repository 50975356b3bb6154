// The read plan together with the follower's rules for retries, overdue reads
// and reads of the other topic, in orders drawn from a seed: a zone of hosts
// reads the configuration and the upstreams from a store whose answers are
// lost, break off, drip, or come late for a time, while hosts start again, so
// that others become the zone's readers. In virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "base/limits.h"
#include "http/arrival.h"
#include "router/readplan.h"

namespace {

constexpr int kStepMs = 20;
constexpr int kCheckMs = 100;
constexpr int kAnswerMs = 20;
constexpr int kAnswerTimeoutMs = 1000; // also between bytes of an answer
constexpr int kLongAnswerMs = 30000;
constexpr int kRetryMinMs = 200;
constexpr int kFirstReadMs = 700;
constexpr int kGossipMs = 300;
constexpr int kPeerLagMs = 1500;
constexpr int kPeersReadMaxMs = 2000;
constexpr int kNever = 1000000;
// Bounds of the smallest deployments.
constexpr int kConfigMs = 2000;
constexpr int kStableMs = 3000;
constexpr int kReaders = 2;

enum fate_t { WHOLE, LOST, HEAD, DRIPS, HELD };

struct read_t {
    int started;
    int wait;
    bool snapshot;
    int due;
    fate_t fate;
    int drip; // ms between bytes
    bool answered;
    bool has_change;
    cq_arrival_t arrival;
};

struct table_t {
    cq_topic_t topic;
    bool complete = false; // a snapshot has been read
    bool current = false;
    guint failures = 0;
    int retry = 0;
    int next = -1; // no read is scheduled
    int started = 0;
    int newest_wait = 0;
    int peers_read = 0;
    int behind_since = 0;
    std::vector<read_t> reads;
};

struct host_t {
    int up_at = 0;
    int learned = kNever;
    int sampled = 0;
    bool sampled_has = false;
    table_t tables[2];
};

struct order_t {
    int hosts;
    int change;
    int from; // answers are lost in this time, each with the chance
    int to;
    int chance;
    bool config_only;
    fate_t fate;  // WHOLE: drawn for each answer
    int restarts; // host, or -1
    int restarts_at;
};

class zone_t {
  public:
    zone_t(unsigned seed, const order_t &order) : order_(order), draw_(seed)
    {
        hosts_.resize((size_t)order.hosts);
        for (host_t &host : hosts_) {
            start(host);
        }
    }

    // Return: which host in touch hasn't the change when it must, or "".
    std::string
    run()
    {
        int bound = std::max(order_.change + kConfigMs, order_.to + kStableMs);
        for (now_ = kStepMs; now_ <= bound + 2 * kStepMs; now_ += kStepMs) {
            if (order_.restarts >= 0 && now_ == order_.restarts_at) {
                host_t &host = hosts_[(size_t)order_.restarts];
                host = host_t();
                host.up_at = now_ + 500;
                start(host);
            }
            for (size_t i = 0; i < hosts_.size(); i++) {
                if (is_up(i)) {
                    step(i);
                }
            }
        }
        for (size_t i = 0; i < hosts_.size(); i++) {
            bool in_touch = (int)i != order_.restarts ||
                            hosts_[i].up_at + kStableMs <= bound;
            if (in_touch && hosts_[i].learned > bound) {
                return "host " + std::to_string(i) + " of " +
                       std::to_string(hosts_.size());
            }
        }
        return "";
    }

  private:
    order_t order_;
    std::mt19937 draw_;
    int now_ = 0;
    std::vector<host_t> hosts_;

    int
    below(int n)
    {
        return (int)(draw_() % (unsigned)n);
    }

    bool
    is_up(size_t i) const
    {
        return now_ >= hosts_[i].up_at;
    }

    void
    start(host_t &host)
    {
        host.tables[0].topic = CQ_TOPIC_CONFIG;
        host.tables[1].topic = CQ_TOPIC_UPSTREAMS;
        for (table_t &table : host.tables) {
            table.next = std::max(now_, host.up_at);
        }
    }

    // The first two hosts that run read the store for the zone.
    cq_store_reader_t
    role(size_t i) const
    {
        int before = 0;
        for (size_t k = 0; k < i; k++) {
            before += is_up(k) ? 1 : 0;
        }
        return hosts_.size() <= kReaders ? CQ_STORE_READER_ALONE
               : before < kReaders       ? CQ_STORE_READER_FOR_PEERS
                                         : CQ_STORE_READER_NONE;
    }

    cq_readplan_t
    plan(size_t i, const table_t &table) const
    {
        cq_readplan_t plan = {};
        plan.topic = table.topic;
        plan.role = role(i);
        plan.first = !table.current;
        plan.failures = table.failures;
        plan.peers_read_us = (gint64)table.peers_read * CQ_MS_US;
        plan.behind_since_us = (gint64)table.behind_since * CQ_MS_US;
        return plan;
    }

    void
    add_read(table_t &table, int wait, bool snapshot)
    {
        read_t read = {};
        read.started = now_;
        read.wait = wait;
        read.snapshot = snapshot;
        bool has = order_.change <= now_ + wait;
        bool waits = table.topic == CQ_TOPIC_CONFIG && !snapshot;
        int ready = !waits ? now_
                    : has  ? std::max(now_, order_.change)
                           : now_ + wait;
        read.due = ready + kAnswerMs + below(3) * kStepMs;
        table.started = now_;
        table.reads.push_back(read);
        table.newest_wait = wait;
    }

    void
    start_read(size_t i, table_t &table)
    {
        cq_readplan_t now_plan = plan(i, table);
        int wait =
            table.complete
                ? (int)cq_readplan_wait_ms(&now_plan, (gint64)now_ * CQ_MS_US)
                : 0;
        add_read(table, wait, !table.complete);
    }

    // What the store answers is lost for the other topic too.
    void
    restart_other(size_t i, const table_t &table)
    {
        for (table_t &other : hosts_[i].tables) {
            bool waits = other.next < 0 || other.failures > 0;
            if (&other != &table && waits && other.started < table.started) {
                other.next = -1;
                other.reads.clear();
                start_read(i, other);
            }
        }
    }

    void
    succeed(size_t i, table_t &table, read_t read)
    {
        int oldest = read.started;
        for (const read_t &other : table.reads) {
            oldest = std::min(oldest, other.started);
        }
        table.reads.clear();
        table.started = read.started;
        table.behind_since = 0;
        table.current = true;
        table.retry = 0;
        if (table.topic == CQ_TOPIC_CONFIG && read.has_change) {
            hosts_[i].learned = std::min(hosts_[i].learned, now_);
        }
        bool was_failing = table.failures > 0;
        table.failures = 0;
        if (was_failing || oldest < read.started) {
            restart_other(i, table);
        }
        if (read.snapshot) {
            table.complete = true;
            table.next =
                now_ + (table.topic == CQ_TOPIC_CONFIG ? 0 : kFirstReadMs);
            return;
        }
        table.next = now_ + (int)cq_readplan_delay_ms(
                                table.topic, read.has_change,
                                (gint64)(now_ - read.started) * CQ_MS_US);
    }

    void
    fail(size_t i, table_t &table, size_t k)
    {
        table.reads.erase(table.reads.begin() + (long)k);
        table.failures++;
        if (table.reads.empty()) {
            cq_readplan_t now_plan = plan(i, table);
            table.retry = std::clamp(table.retry * 2, kRetryMinMs,
                                     (int)cq_readplan_retry_max_ms(&now_plan));
            table.next = now_ + table.retry;
        }
    }

    // Return: whether the answer is complete.
    bool
    receive(const table_t &table, read_t &read)
    {
        if (now_ >= read.due && !read.answered) {
            read.answered = true;
            read.has_change = order_.change <= now_;
            bool loses =
                now_ >= order_.from && now_ < order_.to &&
                (!order_.config_only || table.topic == CQ_TOPIC_CONFIG) &&
                below(100) < order_.chance;
            read.fate = !loses                 ? WHOLE
                        : order_.fate != WHOLE ? order_.fate
                                               : (fate_t)(LOST + below(4));
            read.drip = kStepMs * (1 + below(40));
            if (read.fate == HELD) {
                read.due = now_ + 200 + below(3000);
            }
            if (read.fate == HEAD || read.fate == DRIPS) {
                cq_arrival_add(&read.arrival, 1, (gint64)now_ * CQ_MS_US);
            }
        }
        if (read.fate == DRIPS && (now_ - read.due) % read.drip < kStepMs) {
            cq_arrival_add(&read.arrival, 1, (gint64)now_ * CQ_MS_US);
        }
        return read.answered && (read.fate == WHOLE || read.fate == HELD) &&
               now_ >= read.due;
    }

    bool
    has_timed_out(const read_t &read) const
    {
        int heard = (int)(read.arrival.heard_us / CQ_MS_US);
        int ends = read.started + read.wait + kAnswerTimeoutMs;
        int most = read.started + read.wait + kLongAnswerMs;
        return now_ >=
               std::min(std::max(ends, heard + kAnswerTimeoutMs), most);
    }

    void
    step_reads(size_t i, table_t &table)
    {
        for (size_t k = 0; k < table.reads.size(); k++) {
            if (receive(table, table.reads[k])) {
                succeed(i, table, table.reads[k]);
                return;
            }
            if (has_timed_out(table.reads[k])) {
                fail(i, table, k);
                return;
            }
        }
    }

    void
    check(size_t i, table_t &table)
    {
        cq_readplan_reads_t under_way = {};
        under_way.heard_ago_us = G_MAXINT64;
        under_way.wait_ms = (guint)table.newest_wait;
        gint64 now_us = (gint64)now_ * CQ_MS_US;
        for (const read_t &read : table.reads) {
            if (read.snapshot) {
                continue;
            }
            under_way.len++;
            under_way.started_us = std::max(under_way.started_us,
                                            (gint64)read.started * CQ_MS_US);
            if (read.arrival.heard_us != 0) {
                under_way.heard_ago_us = std::min(
                    under_way.heard_ago_us, now_us - read.arrival.heard_us);
            }
        }
        cq_readplan_t now_plan = plan(i, table);
        if (cq_readplan_is_overdue(&now_plan, &under_way, now_us)) {
            add_read(table, 0, false);
        }
    }

    // Peers tell how far they are, and send a record that they have had for a
    // time.
    void
    gossip(size_t i)
    {
        host_t &host = hosts_[i];
        for (size_t k = 0; k < hosts_.size(); k++) {
            if (k == i || !is_up(k)) {
                continue;
            }
            host_t &peer = hosts_[k];
            for (int t = 0; t < 2; t++) {
                const table_t &theirs = peer.tables[t];
                if (theirs.current && theirs.failures == 0 &&
                    role(k) != CQ_STORE_READER_NONE) {
                    host.tables[t].peers_read = now_;
                    host.tables[t].current |= t == 1;
                }
            }
            if (peer.learned < now_ && host.learned > now_ &&
                host.tables[0].behind_since == 0) {
                host.tables[0].behind_since = now_;
            }
            if (now_ - peer.sampled > kPeerLagMs) {
                peer.sampled = now_;
                peer.sampled_has = peer.learned < now_;
            }
            else if (peer.sampled_has && host.learned > now_) {
                host.learned = now_;
                host.tables[0].behind_since = 0;
            }
        }
    }

    void
    step(size_t i)
    {
        host_t &host = hosts_[i];
        for (table_t &table : host.tables) {
            step_reads(i, table);
            if (table.next >= 0 && now_ >= table.next) {
                bool leaves_it = table.topic == CQ_TOPIC_UPSTREAMS &&
                                 table.current && table.peers_read != 0 &&
                                 role(i) == CQ_STORE_READER_NONE;
                int own = table.peers_read + kPeersReadMaxMs;
                table.next = leaves_it && own > now_ ? own : -1;
                if (table.next < 0) {
                    start_read(i, table);
                }
            }
            if (now_ % kCheckMs == 0) {
                check(i, table);
            }
        }
        if ((now_ + (int)i * kStepMs) % kGossipMs == 0) {
            gossip(i);
        }
    }
};

order_t
draw_order(unsigned seed)
{
    std::mt19937 draw(seed);
    auto below = [&draw](int n) { return (int)(draw() % (unsigned)n); };
    const int lengths[] = {300, 1500, 4500, 9000};
    const int chances[] = {35, 50, 100};
    order_t order = {};
    order.hosts = 1 + below(4);
    order.from = 5000 + kStepMs * below(100);
    order.to = order.from + lengths[below(4)];
    // Before, in and after the loss.
    order.change = order.from - 600 +
                   kStepMs * below((order.to - order.from + 1200) / kStepMs);
    order.chance = chances[below(3)];
    order.config_only = below(2) == 0;
    order.fate = (fate_t)below(5);
    order.restarts = below(3) == 0 ? below(order.hosts) : -1;
    order.restarts_at =
        order.from - 1000 + kStepMs * below((order.to - order.from) / kStepMs);
    return order;
}

TEST(LostAnswers, AChangeIsInForceInTimeWhateverBecomesOfAnswers)
{
    int failed = 0;
    std::string first;
    for (unsigned seed = 1; seed <= 20000; seed++) {
        order_t order = draw_order(seed);
        zone_t zone(seed, order);
        std::string late = zone.run();
        if (!late.empty() && failed++ < 12) {
            first += "seed " + std::to_string(seed) + ": " + late +
                     ", changed at " + std::to_string(order.change) +
                     ", answers lost from " + std::to_string(order.from) +
                     " to " + std::to_string(order.to) + ", chance " +
                     std::to_string(order.chance) + ", fate " +
                     std::to_string(order.fate) + ", starts again " +
                     std::to_string(order.restarts) + "\n";
        }
    }
    EXPECT_EQ(0, failed) << first;
}

} // namespace
