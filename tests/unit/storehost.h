// What the hosts of storeworld.h hold, and what they get from the store and
// from each other.
#ifndef CQ_TESTS_STOREHOST_H
#define CQ_TESTS_STOREHOST_H

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "router/topicmap.h"

namespace storeworld {

struct row_t {
    std::string key;
    guint64 offset;
    bool live;
};

struct answer_t {
    int due;
    guint64 era;
    bool snapshot;
    bool more;
    guint64 end;
    guint64 next;
    std::vector<row_t> rows;
};

struct message_t {
    int due;
    int from_life;
    int to_life;
    guint64 era;
    bool summary;
    bool reads; // the sender reads the store
    bool pushed;
    guint64 at;
    std::vector<row_t> rows;
    cq_topicmap_claim_t claim;
    std::vector<guint64> live;
};

struct map_free_t {
    void
    operator()(cq_topicmap_t *map) const
    {
        cq_topicmap_free(map);
    }
};

struct host_t {
    std::unique_ptr<cq_topicmap_t, map_free_t> map;
    int life = 0;
    int up_at = 0;
    bool older = false; // of a version that says nothing of deletions
    bool keeps = false; // of a version that doesn't drop operators' records
    bool cut = false;
    guint64 era = 0;
    int settled_at = 0; // when what an earlier era told ends
    bool snapshot_done = false;
    bool first_page = true;
    bool reading = false;
    int read_again = 0;
    int heard = 0; // when a peer that reads was heard
    int in_touch_since = 0;
    std::string after;
    std::deque<answer_t> answers;
};

inline std::string
value_of(const std::string &key)
{
    return R"({"service":"p","address":"10.0.0.1:80","zone":"a","slots":4,)"
           R"("state":"ready","born":1,"name":")" +
           key + "\"}";
}

inline void
collect(cq_topic_t, const cq_store_record_t *record, void *data)
{
    auto *rows = static_cast<std::vector<row_t> *>(data);
    rows->push_back({record->key, record->offset, record->value != nullptr});
}

} // namespace storeworld

#endif
