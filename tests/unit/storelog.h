// The log of a topic of the platform's store, for storeworld.h: upstreams
// write and delete their entries, old records expire, and the store may come
// back from an older copy, after which upstreams write again what it lost.
#ifndef CQ_TESTS_STORELOG_H
#define CQ_TESTS_STORELOG_H

#include <glib.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform/wirenames.h"

namespace storeworld {

constexpr int kKeys = 6;
// The most records that an older copy lacks, and the steps within which
// upstreams have written again.
constexpr int kLostMax = 12;
constexpr int kRewriteSteps = 20;

struct record_t {
    std::string key;
    bool live;
    int step;
};

// below(n) draws a number from 0 to n - 1. With is_config, the first key is
// that of the configuration, and the others empty a zone each.
struct log_t {
    bool is_config = false;
    std::function<int(int)> below;
    std::vector<record_t> records;
    guint64 first = 0; // oldest record that is kept
    guint64 era = 1;
    bool down = false;
    std::map<std::string, bool> wanted; // whether the upstream is there
    std::map<std::string, int> due;     // when its entry is written again

    // In order of the names.
    std::string
    key_name(int i) const
    {
        if (is_config && i == 0) {
            return CQ_W_CONFIG_KEY;
        }
        return (is_config ? CQ_W_EMPTIED_PREFIX : "k") + std::to_string(i);
    }

    size_t
    size() const
    {
        return records.size();
    }

    // Return: offset of the newest record of @key before @end, or -1.
    int
    newest(const std::string &key, size_t end) const
    {
        for (size_t i = end; i > 0; i--) {
            if (records[i - 1].key == key) {
                return (int)i - 1;
            }
        }
        return -1;
    }

    void
    write(const std::string &key, bool live, int step)
    {
        records.push_back({key, live, step});
        wanted[key] = live;
        due.erase(key);
    }

    void
    change(int step)
    {
        for (int k = 0; k < kKeys && !down; k++) {
            auto found = due.find(key_name(k));
            if (found != due.end() && found->second <= step) {
                write(key_name(k), wanted[key_name(k)], step);
            }
        }
        if (!down && below(4) == 0) {
            std::string key = key_name(below(kKeys));
            write(key, below(2) == 0, step);
        }
    }

    void
    restore(int step)
    {
        size_t lost = std::min(size(), (size_t)below(kLostMax));
        records.resize(size() - lost);
        first = std::min(first, (guint64)size());
        era++;
        for (const auto &[key, live] : wanted) {
            int at = newest(key, size());
            bool is_live = at >= 0 && records[(size_t)at].live;
            if (is_live != live) {
                due[key] = step + below(kRewriteSteps);
            }
        }
    }
};

} // namespace storeworld

#endif
