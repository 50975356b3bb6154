// Test fixture: a fleet of hosts that place requests on the upstreams of a
// plain service. Each host is a core; what they send to each other takes some
// milliseconds, and longer between zones.
#ifndef FLEETFIXTURE_H
#define FLEETFIXTURE_H

#include "corefixture.h"

#include <map>
#include <memory>

namespace core_test {

struct fleet_options_t {
    guint hosts;
    guint zones;
    guint upstreams;
    double requests_per_s; // of the whole fleet
    gboolean finds_pace = FALSE;
};

struct host_t {
    cq_core_t *core = nullptr;
    std::string name;
    std::string zone;
    guint64 incarnation = 1;
    guint32 serial = 0;
    bool running = true;
    bool cut_off = false;
};

class Fleet {
  public:
    explicit Fleet(const fleet_options_t &with) : options(with)
    {
        rules = make_rules("p", CQ_SERVICE_PLAIN);
        cq_team_rule_t small = {};
        g_strlcpy(small.name, "small", sizeof small.name);
        small.weight = 1;
        g_array_append_val(rules->teams, small);
        for (guint i = 0; i < options.upstreams; i++) {
            add_row("p" + std::to_string(i), "p", zone_name(i));
        }
        for (guint i = 0; i < options.hosts; i++) {
            hosts.push_back(std::make_unique<host_t>());
            hosts[i]->name = "h" + std::to_string(i);
            hosts[i]->zone = zone_name(i);
            add_row(hosts[i]->name, "", hosts[i]->zone);
        }
        cq_actions_init(&actions);
        for (guint i = 0; i < options.hosts; i++) {
            start(i);
        }
    }
    virtual ~Fleet()
    {
        for (auto &host : hosts) {
            cq_core_free(host->core);
        }
        cq_actions_clear(&actions);
        cq_rules_unref(rules);
    }
    Fleet(const Fleet &) = delete;
    Fleet &
    operator=(const Fleet &) = delete;
    void
    start(guint i)
    {
        host_t &host = *hosts[i];
        if (host.core != nullptr) {
            cq_core_free(host.core);
            host.incarnation++;
        }
        cq_core_options_t with = {};
        with.host = host.name.c_str();
        with.zone = host.zone.c_str();
        with.incarnation = host.incarnation;
        with.seed = i + 1;
        with.finds_pace = options.finds_pace;
        host.core = cq_core_new(&with);
        host.running = true;
        cq_event_t event = {};
        event.kind = CQ_EV_RULES;
        event.rules = rules;
        step(i, event);
        send_list(i);
    }
    void
    send_list(guint i)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_HOSTS;
        event.hosts.rows = rows.data();
        event.hosts.len = (guint)rows.size();
        step(i, event);
    }
    void
    run(gint64 us)
    {
        gint64 per_request = (gint64)(kSecond / (options.requests_per_s > 0
                                                     ? options.requests_per_s
                                                     : 1e-3));
        for (gint64 until_us = now_us + us; now_us < until_us;) {
            now_us += kTick;
            deliver();
            for (guint i = 0; i < hosts.size(); i++) {
                cq_event_t event = {};
                event.kind = CQ_EV_TICK;
                step(i, event);
            }
            while (next_request_us <= now_us) {
                next_request_us += per_request;
                request();
            }
        }
    }
    guint64
    upstream_id(guint i) const
    {
        return cq_ident_hash(("p" + std::to_string(i)).c_str());
    }

    static constexpr gint64 kTick = 20 * kMs;
    fleet_options_t options;
    cq_rules_t *rules;
    std::vector<cq_host_row_t> rows;
    std::vector<std::unique_ptr<host_t>> hosts;
    gint64 now_us = 1000 * kSecond;
    gint64 next_request_us = 1000 * kSecond;

  protected:
    // Called before a request is sent to a random host.
    virtual void
    fill_request(cq_ev_request_t &request)
    {
        (void)request;
    }
    // Called for what host @i does beside sending summaries.
    virtual void
    on_action(guint i, const cq_action_t &action)
    {
        (void)i;
        (void)action;
    }
    virtual void
    on_send(guint i, const cq_ac_send_t &send) = 0;
    // Calls @call after @delay_us, in the order of the times.
    void
    later(gint64 delay_us, std::function<void()> call)
    {
        calls.emplace(now_us + delay_us, std::move(call));
    }
    // Calls @call for each peer of host @from that it is not cut off from,
    // when a message to that peer arrives.
    void
    send_to_peers(guint from, std::function<void(guint)> call)
    {
        guint len;
        const cq_host_row_t *peers = cq_core_peers(hosts[from]->core, &len);
        for (guint i = 0; i < len; i++) {
            guint to = (guint)atoi(peers[i].name + 1);
            gint64 delay =
                hosts[to]->zone == hosts[from]->zone ? 1 * kMs : 30 * kMs;
            later(delay, [this, from, to, call] {
                if (hosts[from]->cut_off == hosts[to]->cut_off) {
                    call(to);
                }
            });
        }
    }
    void
    step(guint i, const cq_event_t &event)
    {
        act(i, [this, &event](cq_core_t *core, cq_actions_t *out) {
            cq_core_step(core, now_us, &event, out);
        });
    }
    // Does what @call has host @i do.
    void
    act(guint i, const std::function<void(cq_core_t *, cq_actions_t *)> &call)
    {
        host_t &host = *hosts[i];
        if (!host.running) {
            return;
        }
        cq_actions_reset(&actions);
        call(host.core, &actions);
        std::vector<cq_ac_send_t> sends;
        for (guint k = 0; k < actions.items->len; k++) {
            const cq_action_t &action = *cq_actions_at(&actions, k);
            if (action.kind == CQ_AC_SEND) {
                sends.push_back(action.send);
            }
            else if (action.kind == CQ_AC_SUMMARY) {
                spread(i, *action.summary);
            }
            else {
                on_action(i, action);
            }
        }
        for (const cq_ac_send_t &send : sends) {
            on_send(i, send);
        }
    }
    void
    attempt_event(guint i, cq_event_kind_t kind, const cq_ac_send_t &send,
                  cq_failure_t failure = CQ_FAIL_BROKEN)
    {
        cq_event_t event = {};
        event.kind = kind;
        event.attempt.request = send.request;
        event.attempt.attempt = send.attempt;
        event.attempt.failure = failure;
        event.attempt.status = 200;
        step(i, event);
    }

  private:
    std::string
    zone_name(guint i)
    {
        return std::string(1, (char)('a' + i % options.zones));
    }
    void
    add_row(const std::string &name, const char *service,
            const std::string &zone)
    {
        cq_host_row_t row = {};
        g_strlcpy(row.name, name.c_str(), sizeof row.name);
        g_strlcpy(row.addr, (name + ":1").c_str(), sizeof row.addr);
        g_strlcpy(row.zone, zone.c_str(), sizeof row.zone);
        g_strlcpy(row.service, service, sizeof row.service);
        row.incarnation = 1;
        rows.push_back(row);
    }
    void
    request()
    {
        guint i = (guint)(random_state = cq_ident_hash(
                              std::to_string(random_state).c_str())) %
                  (guint)hosts.size();
        host_t &host = *hosts[i];
        if (!host.running) {
            return;
        }
        cq_event_t event = {};
        event.kind = CQ_EV_REQUEST;
        event.request.id = cq_ident_request(cq_ident_host(host.name.c_str()),
                                            host.incarnation, ++host.serial);
        event.request.service = "p";
        event.request.team = "t";
        event.request.model = "";
        event.request.repeatable = TRUE;
        event.request.prompt_tokens = 1;
        event.request.timeout_us = 3 * kSecond;
        event.request.target_us = 300 * kMs;
        event.request.attempts_max = 2;
        fill_request(event.request);
        step(i, event);
    }
    void
    spread(guint from, const cq_summary_t &summary)
    {
        auto copy = std::make_shared<cq_summary_t>(summary);
        send_to_peers(from, [this, copy](guint to) {
            cq_event_t event = {};
            event.kind = CQ_EV_SUMMARY;
            event.summary = copy.get();
            step(to, event);
        });
    }
    void
    deliver()
    {
        while (!calls.empty() && calls.begin()->first <= now_us) {
            std::function<void()> call = std::move(calls.begin()->second);
            calls.erase(calls.begin());
            call();
        }
    }

    cq_actions_t actions;
    std::multimap<gint64, std::function<void()>> calls;
    guint64 random_state = 1;
};

} // namespace core_test

#endif
