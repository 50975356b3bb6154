// Copies of a topic of the platform's store at several hosts, which get
// records from the log, from snapshots and from each other, in orders drawn
// from a seed: restarts, cuts, outages of the store and expired records, one
// after the other and together. Answers and messages arrive late; those on one
// link, or of one read, stay in order. Each zone is a cell: its first two
// hosts read the store for the others of the zone.
#ifndef CQ_TESTS_STOREWORLD_H
#define CQ_TESTS_STOREWORLD_H

#include <map>
#include <random>
#include <string>
#include <vector>

#include "platform/records.h"
#include "storehost.h"
#include "storelog.h"

namespace storeworld {

constexpr int kReaders = 2; // of a zone
constexpr int kPageLen = 2;
// Steps of 100 ms.
constexpr int kSteps = 400;
constexpr int kBound = 45;
constexpr int kPeersMax = 20;
constexpr int kEraSettle = 50;

// zones, hosts: how many zones, and hosts in each
// upgrade: a host that starts again may be of a version that says nothing of
//   deletions, as in an upgrade; readers push what they read
// eras: the store may come back from an older copy
// config: the topic is that of the configuration, with zones to be emptied
// keepers: a host that starts again may be of a version that drops none of its
//   records for want of them in a snapshot or in a peer's list of keys
struct options_t {
    int zones = 1;
    int hosts = 4;
    bool upgrade = false;
    bool eras = false;
    bool config = false;
    bool keepers = false;
};

class world_t {
  public:
    explicit world_t(unsigned seed, options_t options = {})
        : options_(options), draw_(seed)
    {
        log_.below = [this](int n) { return below(n); };
        log_.is_config = options.config;
        int count = options.zones * options.hosts;
        hosts_.resize((size_t)count);
        links_.resize((size_t)count);
        for (int i = 0; i < count; i++) {
            links_[(size_t)i].resize((size_t)options.hosts);
            restart(i);
        }
    }

    // Return: what is wrong, or "".
    std::string
    run()
    {
        for (step_ = 1; step_ < kSteps && wrong_.empty(); step_++) {
            disturb();
            log_.change(step_);
            for (int i = 0; i < count(); i++) {
                if (is_up(i)) {
                    deliver(i);
                    read(i);
                    gossip(i);
                    check(i);
                }
            }
        }
        return wrong_;
    }

  private:
    options_t options_;
    std::mt19937 draw_;
    int step_ = 0;
    log_t log_;
    std::vector<host_t> hosts_;
    // By sender and place of the receiver in their zone.
    std::vector<std::vector<std::deque<message_t>>> links_;
    std::string wrong_;

    int
    count() const
    {
        return (int)hosts_.size();
    }

    host_t &
    host_at(int i)
    {
        return hosts_[(size_t)i];
    }

    const host_t &
    host_at(int i) const
    {
        return hosts_[(size_t)i];
    }

    int
    first_of_zone(int i) const
    {
        return i - i % options_.hosts;
    }

    bool
    is_reader(int i) const
    {
        return i % options_.hosts < kReaders;
    }

    std::deque<message_t> &
    link(int from, int to)
    {
        return links_[(size_t)from][(size_t)(to % options_.hosts)];
    }

    int
    below(int n)
    {
        return (int)(draw_() % (unsigned)n);
    }

    bool
    is_up(int i) const
    {
        return step_ >= host_at(i).up_at;
    }

    void
    restart(int i)
    {
        host_t &host = host_at(i);
        int life = host.life + 1;
        host = host_t{};
        host.life = life;
        host.up_at = step_ + below(8);
        host.in_touch_since = host.up_at;
        host.map.reset(cq_topicmap_new(
            nullptr, options_.config ? CQ_TOPIC_CONFIG : CQ_TOPIC_UPSTREAMS));
        host.older = options_.upgrade && below(2) == 0;
        host.keeps = options_.keepers && below(2) == 0;
    }

    // Restarts the first @len hosts of a zone.
    void
    restart_first(int zone, int len)
    {
        for (int i = 0; i < len; i++) {
            restart(zone * options_.hosts + i);
        }
    }

    void
    cut_zone(int zone, bool cut)
    {
        for (int i = 0; i < options_.hosts; i++) {
            host_at(zone * options_.hosts + i).cut = cut;
        }
    }

    // What only fleets of several zones have.
    void
    disturb_zone()
    {
        int zone = below(options_.zones);
        switch (below(4)) {
        case 0:
            restart_first(zone, kReaders);
            break;
        case 1:
            restart_first(zone, options_.hosts);
            break;
        case 2:
            cut_zone(zone, true);
            break;
        default:
            cut_zone(zone, false);
            break;
        }
    }

    void
    disturb()
    {
        if (below(25) != 0) {
            return;
        }
        if (options_.eras && below(6) == 0) {
            log_.restore(step_);
        }
        // In pairs, as one disruption hides the other's.
        for (int n = 1 + below(2); n > 0; n--) {
            int i = below(count());
            if (options_.zones > 1 && below(2) == 0) {
                disturb_zone();
                continue;
            }
            switch (below(5)) {
            case 0:
                restart(i);
                break;
            case 1:
                restart_first(0, kReaders);
                break;
            case 2:
                host_at(i).cut = !host_at(i).cut;
                break;
            case 3:
                log_.down = !log_.down;
                break;
            default:
                log_.first = log_.size();
                break;
            }
        }
    }

    static void
    add_row(host_t &host, const row_t &row, cq_record_source_t source,
            bool always)
    {
        std::string text = value_of(row.key);
        cq_store_record_t record = {};
        record.offset = row.offset;
        record.key = const_cast<char *>(row.key.c_str());
        record.value =
            row.live ? g_bytes_new(text.data(), text.size()) : nullptr;
        if (always || cq_topicmap_is_new(host.map.get(), &record, source)) {
            cq_topicmap_add(host.map.get(), &record, source);
        }
        g_clear_pointer(&record.value, g_bytes_unref);
    }

    void
    add(host_t &host, const std::vector<row_t> &rows,
        cq_record_source_t source)
    {
        for (const row_t &row : rows) {
            add_row(host, row, source, false);
        }
    }

    static std::vector<row_t>
    held_by(const host_t &host)
    {
        std::vector<row_t> rows;
        cq_topicmap_visit_held(host.map.get(), collect, &rows);
        return rows;
    }

    // Takes back what a host of a version that keeps it has dropped of @held.
    static void
    keep(host_t &host, const std::vector<row_t> &held)
    {
        std::map<std::string, row_t> left;
        for (const row_t &row : held_by(host)) {
            left[row.key] = row;
        }
        for (const row_t &row : held) {
            if (host.keeps && left.find(row.key) == left.end()) {
                add_row(host, row, CQ_SOURCE_SNAPSHOT, true);
            }
        }
    }

    // Notes the era in which a peer or the store counts offsets. Return:
    // whether they mean the same records as those of the host.
    bool
    note_era(host_t &host, guint64 era)
    {
        guint64 own = host.era;
        if (era > own) {
            host.era = era;
        }
        if (own != 0 && era > own) {
            cq_topicmap_begin_era(host.map.get());
            host.answers.clear();
            host.reading = false;
            host.snapshot_done = false;
            host.first_page = true;
            host.after = "";
            host.heard = 0;
            host.settled_at = step_ + kEraSettle;
            host.in_touch_since = host.settled_at;
        }
        return own == 0 || era == 0 || era == own;
    }

    void
    settle(host_t &host)
    {
        if (host.settled_at != 0 && step_ >= host.settled_at &&
            host.snapshot_done) {
            cq_topicmap_end_era(host.map.get());
            host.settled_at = 0;
            host.in_touch_since = step_;
        }
    }

    // Sends the zone what was read, up to @next.
    void
    push(int i, const answer_t &answer, guint64 from)
    {
        for (int n = 0; n < options_.hosts; n++) {
            int to = first_of_zone(i) + n;
            if (to != i && is_up(to)) {
                message_t message = start_message(i, to, false);
                message.pushed = true;
                message.rows = answer.rows;
                message.claim.from = from;
                message.claim.at = answer.next;
                message.claim.has_deletions = TRUE;
                link(i, to).push_back(message);
            }
        }
    }

    void
    deliver_answers(int i)
    {
        host_t &host = host_at(i);
        while (!host.answers.empty() && host.answers.front().due <= step_) {
            answer_t answer = host.answers.front();
            host.answers.pop_front();
            host.reading = false;
            if (!note_era(host, answer.era)) {
                continue;
            }
            if (!answer.snapshot) {
                guint64 from = cq_topicmap_end(host.map.get());
                add(host, answer.rows, CQ_SOURCE_LOG);
                if (options_.upgrade && is_reader(i) && !answer.rows.empty()) {
                    push(i, answer, from);
                }
                cq_topicmap_add_page(host.map.get(), answer.next);
                continue;
            }
            cq_topicmap_begin_page(host.map.get(), answer.end);
            add(host, answer.rows, CQ_SOURCE_SNAPSHOT);
            host.first_page = false;
            if (answer.more) {
                host.after = answer.rows.back().key;
                continue;
            }
            std::vector<row_t> held = held_by(host);
            cq_topicmap_end_snapshot(host.map.get());
            keep(host, held);
            host.snapshot_done = true;
            host.read_again = step_ + 7;
        }
    }

    void
    deliver(int i)
    {
        host_t &host = host_at(i);
        deliver_answers(i);
        settle(host);
        for (int n = 0; n < options_.hosts; n++) {
            int from = first_of_zone(i) + n;
            std::deque<message_t> &queue = link(from, i);
            while (!queue.empty() && queue.front().due <= step_) {
                message_t message = std::move(queue.front());
                queue.pop_front();
                if (message.to_life == host.life &&
                    message.from_life == host_at(from).life) {
                    receive(i, from, message);
                }
            }
        }
    }

    void
    receive(int i, int from, message_t &message)
    {
        host_t &host = host_at(i);
        if (!note_era(host, message.era)) {
            return;
        }
        if (message.summary) {
            if (message.reads &&
                message.at <= cq_topicmap_end(host.map.get())) {
                host.heard = step_;
            }
            answer_summary(i, from, message.at);
            return;
        }
        add(host, message.rows, CQ_SOURCE_PEER);
        if (below(20) != 0) { // else the last message was lost with its link
            message.claim.live = message.live.data();
            if (host.older) {
                message.claim.has_deletions = TRUE;
                message.claim.complete = FALSE;
            }
            gboolean dropped = FALSE;
            std::vector<row_t> held = held_by(host);
            cq_topicmap_add_claim(host.map.get(), &message.claim, &dropped);
            keep(host, held);
        }
    }

    // Rows go in front of the claim, and the claim is of the same moment.
    void
    answer_summary(int i, int to, guint64 at)
    {
        host_t &host = host_at(i);
        bool lags = !is_reader(i) && below(8) != 0;
        if (at >= cq_topicmap_end(host.map.get()) || lags) {
            return;
        }
        message_t message = start_message(i, to, false);
        cq_topicmap_visit_from(host.map.get(), at, collect, &message.rows);
        GArray *live = g_array_new(FALSE, FALSE, sizeof(guint64));
        message.claim = cq_topicmap_get_claim(host.map.get(), at, live);
        for (guint k = 0; k < live->len; k++) {
            message.live.push_back(g_array_index(live, guint64, k));
        }
        g_array_unref(live);
        if (host.keeps) {
            message.claim.live_has_operators = FALSE;
        }
        if (host.older) {
            message.live.clear();
            message.claim = {};
            message.claim.from = at;
            message.claim.at = cq_topicmap_end(host.map.get());
        }
        link(i, to).push_back(message);
    }

    message_t
    start_message(int from, int to, bool summary)
    {
        message_t message = {};
        message.due = step_ + 1 + below(3);
        if (!link(from, to).empty()) {
            message.due = MAX(message.due, link(from, to).back().due);
        }
        message.from_life = host_at(from).life;
        message.to_life = host_at(to).life;
        message.summary = summary;
        message.era = host_at(from).era;
        return message;
    }

    void
    gossip(int i)
    {
        const host_t &host = host_at(i);
        for (int n = 0; n < options_.hosts && (step_ + i) % 3 == 0; n++) {
            int to = first_of_zone(i) + n;
            if (to != i && is_up(to)) {
                message_t message = start_message(i, to, true);
                message.at = cq_topicmap_end(host.map.get());
                message.reads = is_reader(i) && host.snapshot_done &&
                                !host.cut && !log_.down;
                link(i, to).push_back(message);
            }
        }
    }

    void
    read(int i)
    {
        host_t &host = host_at(i);
        bool reads = is_reader(i) || !host.snapshot_done ||
                     step_ - host.heard > kPeersMax;
        if (host.cut || log_.down) {
            host.in_touch_since = step_;
            return;
        }
        if (host.reading || step_ < host.read_again || !reads) {
            return;
        }
        answer_t answer = {};
        answer.due = step_ + 1 + below(4);
        answer.era = log_.era;
        answer.end = log_.size();
        guint64 from = cq_topicmap_end(host.map.get());
        if (host.snapshot_done && from < log_.first) {
            host.snapshot_done = false;
            host.first_page = true;
            host.after = "";
        }
        if (!host.snapshot_done) {
            if (host.first_page) {
                cq_topicmap_begin_snapshot(host.map.get());
            }
            fill_page(answer, host.first_page ? "" : host.after);
        }
        else {
            for (size_t k = from; k < log_.size(); k++) {
                answer.rows.push_back(
                    {log_.records[k].key, k, log_.records[k].live});
            }
            answer.next = log_.size();
        }
        host.reading = true;
        host.answers.push_back(answer);
    }

    void
    fill_page(answer_t &answer, const std::string &after)
    {
        answer.snapshot = true;
        for (int k = 0; k < kKeys; k++) {
            std::string key = log_.key_name(k);
            int at = log_.newest(key, log_.size());
            if (key <= after || at < 0 || !log_.records[(size_t)at].live) {
                continue;
            }
            if ((int)answer.rows.size() == kPageLen) {
                answer.more = true;
                return;
            }
            answer.rows.push_back({key, (guint64)at, true});
        }
    }

    // Checks what a host says that it knows, at any moment, and what a host in
    // touch has to know.
    void
    check(int i)
    {
        const host_t &host = host_at(i);
        if (host.older || host.keeps || host.settled_at != 0 ||
            host.era != log_.era) {
            return;
        }
        guint64 end = cq_topicmap_end(host.map.get());
        std::vector<row_t> rows;
        cq_topicmap_visit_held(host.map.get(), collect, &rows);
        std::map<std::string, row_t> known;
        for (const row_t &row : rows) {
            known[row.key] = row;
        }
        size_t settled = end;
        if (step_ - host.in_touch_since > kBound) {
            while (settled < log_.size() &&
                   log_.records[settled].step < step_ - kBound) {
                settled++;
            }
        }
        for (int k = 0; k < kKeys; k++) {
            std::string key = log_.key_name(k);
            int at = log_.newest(key, settled);
            auto found = known.find(key);
            bool live = found != known.end() && found->second.live;
            guint64 offset = found != known.end() ? found->second.offset : 0;
            if (at < 0) {
                continue;
            }
            bool is_late = (guint64)at >= end;
            std::string where = " host " + std::to_string(i) + " step " +
                                std::to_string(step_) + " " + key +
                                (is_late ? " (beyond its end)" : "");
            bool is_live = log_.records[(size_t)at].live;
            // A configuration stays in force until there is another one.
            bool stays = !is_live && cq_records_is_routes_key(key.c_str());
            if (live && offset < (guint64)at && !stays) {
                wrong_ = (is_live ? "older over newer" : "deleted, and held") +
                         where;
            }
            // A later page of a snapshot may already lack what is deleted
            // after the end that the first one gave.
            else if (!live && is_live && offset <= (guint64)at &&
                     at == log_.newest(key, log_.size())) {
                wrong_ = "lost" + where;
            }
        }
    }
};

} // namespace storeworld

#endif
