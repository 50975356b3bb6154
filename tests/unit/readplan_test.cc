// When a host reads the store: replays of one topic at one host against a
// store that loses answers, or that the host can't reach, over all phases of
// reads and disruptions. The steps are those of router/follower.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "base/limits.h"
#include "router/outage.h"
#include "router/readplan.h"

namespace {

constexpr int kStepMs = 20;
constexpr int kCheckMs = 100;
constexpr int kAnswerMs = 20;
constexpr int kAnswerTimeoutMs = 1000;
constexpr int kRetryMinMs = 200;
constexpr int kNever = 1000000;
// Bounds of the smallest deployments.
constexpr int kConfigMs = 2000;
constexpr int kDrainMs = 2000;
constexpr int kStableMs = 3000;
// Entries that lapsed in an outage are written again within this time.
constexpr int kBackMs = 2000;

struct span_t {
    int from = kNever;
    int to = kNever;

    bool
    has(int ms) const
    {
        return ms >= from && ms < to;
    }
};

struct read_t {
    int started;
    int wait;
    bool reached; // the store got it
    bool lost;    // nothing comes back on its connection any more
};

struct host_t {
    cq_topic_t topic;
    cq_store_reader_t role;
    int change;              // when the store confirms the record
    span_t loses;            // answers of the store that are due then are lost
    span_t cut;              // nothing passes, without a reset
    bool store_down = false; // in the cut nobody reads
    bool told = false;       // peers tell when they have read

    int now = 0;
    int reads_made = 0;
    guint failures = 0;
    int retry = 0;
    int next = 0;
    std::vector<read_t> reads;
    cq_outage_t outage = {};
    // First answer with the record, and until when the entry that it removes
    // counts as present.
    int learned = kNever;
    int used_until = kNever;

    host_t(cq_topic_t of, cq_store_reader_t as, int changed_at)
        : topic(of), role(as), change(changed_at)
    {
    }

    cq_readplan_t
    plan() const
    {
        cq_readplan_t plan = {};
        plan.topic = topic;
        plan.role = role;
        plan.failures = failures;
        return plan;
    }

    void
    start(int wait)
    {
        reads.push_back({now, wait, !cut.has(now), false});
        reads_made++;
    }

    // Return: when the store answers @read.
    int
    due(const read_t &read) const
    {
        int ready = change > read.started + read.wait
                        ? read.started + read.wait
                        : std::max(change, read.started);
        return ready + kAnswerMs;
    }

    void
    succeed(const read_t &read)
    {
        bool was_failing = failures > 0;
        failures = 0;
        retry = 0;
        reads.clear();
        gint64 read_us = (gint64)std::max(read.started, now - 400) * CQ_MS_US;
        gint64 now_us = (gint64)now * CQ_MS_US;
        cq_outage_note_read(&outage, read_us);
        if (change <= now && learned == kNever) {
            gint64 until_us =
                was_failing ? cq_outage_lapsed_until_us(&outage, now_us) : 0;
            learned = now;
            used_until = std::max(now, (int)(until_us / CQ_MS_US));
        }
        next = now + (int)cq_readplan_delay_ms(topic, change <= now,
                                               (gint64)(now - read.started) *
                                                   CQ_MS_US);
    }

    void
    fail(size_t i)
    {
        failures++;
        reads.erase(reads.begin() + (long)i);
        if (reads.empty()) {
            cq_readplan_t now_plan = plan();
            retry = std::clamp(retry * 2, kRetryMinMs,
                               (int)cq_readplan_retry_max_ms(&now_plan));
            next = now + retry;
        }
    }

    void
    step()
    {
        for (size_t i = 0; i < reads.size(); i++) {
            read_t &read = reads[i];
            bool is_due = read.reached && due(read) == now;
            if (is_due && (loses.has(now) || cut.has(now))) {
                read.lost = true;
            }
            else if (is_due && !read.lost) {
                succeed(read);
                break;
            }
            if (now >= read.started + read.wait + kAnswerTimeoutMs) {
                fail(i);
                break;
            }
        }
        cq_readplan_t now_plan = plan();
        gint64 now_us = (gint64)now * CQ_MS_US;
        if (reads.empty() && now >= next) {
            start((int)cq_readplan_wait_ms(&now_plan, now_us));
        }
        cq_readplan_reads_t under_way = {};
        under_way.len = (guint)reads.size();
        under_way.heard_ago_us = G_MAXINT64;
        if (!reads.empty()) {
            under_way.started_us = (gint64)reads.back().started * CQ_MS_US;
            under_way.wait_ms = (guint)reads.back().wait;
        }
        if (now % kCheckMs == 0 &&
            cq_readplan_is_overdue(&now_plan, &under_way, now_us)) {
            start(0);
        }
        if (told && !(store_down && cut.has(now)) && now % kCheckMs == 0) {
            cq_outage_note_read(&outage, now_us);
        }
    }

    void
    run(int until)
    {
        // The time 0 means that nothing has been read.
        for (now = kStepMs; now < until; now += kStepMs) {
            step();
        }
    }
};

const cq_store_reader_t kRoles[] = {CQ_STORE_READER_ALONE,
                                    CQ_STORE_READER_FOR_PEERS};

// The read that waits for the configuration gets no answer, or several in a
// row don't, and everything else does.
TEST(ReadPlan, AKeyThatWasTakenAwayIsAcceptedAfterAnAnswerWasLost)
{
    for (cq_store_reader_t role : kRoles) {
        for (int change = 4000; change < 6000; change += 60) {
            for (int loses_for : {40, 400, 1200, 2500, 4500}) {
                for (int early : {0, 600, 1200}) {
                    host_t host(CQ_TOPIC_CONFIG, role, change);
                    host.loses = {change - early, change - early + loses_for};
                    host.run(30000);
                    int bound = std::max(change + kConfigMs,
                                         host.loses.to + kStableMs);
                    ASSERT_LE(host.learned, bound)
                        << "changed at " << change << ", answers lost from "
                        << host.loses.from << " to " << host.loses.to;
                }
            }
        }
    }
}

// One lost answer alone leaves the bound of the configuration as it is.
TEST(ReadPlan, OneLostAnswerDelaysTheConfigurationByLessThanItsBound)
{
    for (cq_store_reader_t role : kRoles) {
        for (int change = 4000; change < 6000; change += 20) {
            host_t host(CQ_TOPIC_CONFIG, role, change);
            host.loses = {change, change + 2 * kAnswerMs};
            host.run(30000);
            ASSERT_LE(host.learned, change + kConfigMs) << change;
        }
    }
}

// The entry is removed around the end of a cut of this host alone, silently.
// Told: peers that aren't cut off read all the time.
TEST(ReadPlan, AnUpstreamRemovedAfterACutIsUsedAsIfItsEntryHadLapsed)
{
    for (cq_store_reader_t role : kRoles) {
        for (bool told : {false, true}) {
            for (int cut_for : {1000, 2600, 6600, 11700}) {
                for (int from = 4000; from < 5300; from += 60) {
                    for (int after = -900; after <= 2000; after += 100) {
                        host_t host(CQ_TOPIC_UPSTREAMS, role,
                                    from + cut_for + after);
                        host.cut = {from, from + cut_for};
                        host.told = told;
                        host.run(from + cut_for + 12000);
                        int bound = std::max(host.change + kDrainMs,
                                             host.cut.to + kStableMs);
                        ASSERT_LE(host.used_until, bound)
                            << "cut from " << from << " for " << cut_for
                            << ", removed " << after << " ms after it, told "
                            << told;
                    }
                }
            }
        }
    }
}

// The other way round: an entry that lapsed in an outage of the store itself
// counts as present until it must be back.
TEST(ReadPlan, AnEntryThatLapsedInAnOutageIsGoneAtOnce)
{
    for (cq_store_reader_t role : kRoles) {
        for (bool told : {false, true}) {
            for (int from = 4000; from < 5300; from += 60) {
                host_t host(CQ_TOPIC_UPSTREAMS, role, from + 4000);
                host.cut = {from, from + 5000};
                host.store_down = true;
                host.told = told;
                host.run(from + 12000);
                ASSERT_GE(host.used_until, host.cut.to + kBackMs) << from;
            }
        }
    }
}

// A long answer that arrives slowly, as where many hosts read it at once.
TEST(ReadPlan, AnAnswerThatArrivesIsAskedForAgain)
{
    cq_readplan_t plan = {};
    plan.topic = CQ_TOPIC_CONFIG;
    plan.role = CQ_STORE_READER_ALONE;
    cq_readplan_reads_t reads = {};
    reads.len = 1;
    reads.heard_ago_us = 100 * CQ_MS_US;
    gint64 now_us = 5 * CQ_SECOND_US;
    EXPECT_FALSE(cq_readplan_is_overdue(&plan, &reads, now_us));
    reads.heard_ago_us = 400 * CQ_MS_US;
    EXPECT_TRUE(cq_readplan_is_overdue(&plan, &reads, now_us));
}

// What the short waits cost: the hosts that read for their zone, two a zone of
// 13 or 33 hosts, or all of a small deployment.
TEST(ReadPlan, ReadersStayWithinWhatTheStoreTakes)
{
    constexpr int kSeconds = 30;
    constexpr int kReadsPerSecond = 2000;
    host_t config(CQ_TOPIC_CONFIG, CQ_STORE_READER_ALONE, kNever);
    host_t upstreams(CQ_TOPIC_UPSTREAMS, CQ_STORE_READER_ALONE, kNever);
    config.run(kSeconds * 1000);
    upstreams.run(kSeconds * 1000);
    int reads = config.reads_made + upstreams.reads_made;
    // All 330 hosts, as after the loss of their links to each other.
    EXPECT_LE(330 * reads / kSeconds, kReadsPerSecond / 2);
}

} // namespace
