// Splitting the bytes of an event stream, however they arrive.
#include <gtest/gtest.h>

#include <string>

#include "router/events.h"

namespace {

class Events : public ::testing::Test {
  protected:
    void
    SetUp() override
    {
        events = {};
        events.unparsed = g_byte_array_new();
        events.whole = g_byte_array_new();
        events.last = -1;
    }
    void
    TearDown() override
    {
        g_byte_array_unref(events.unparsed);
        g_byte_array_unref(events.whole);
    }
    // Feeds the bytes in pieces of this size. Return: number of events.
    gint64
    feed(const std::string &bytes, size_t piece)
    {
        gint64 count = 0;
        for (size_t i = 0; i < bytes.size(); i += piece) {
            std::string part = bytes.substr(i, piece);
            g_byte_array_append(events.unparsed, (const guint8 *)part.data(),
                                (guint)part.size());
            count += cq_events_split(&events).count;
        }
        return count;
    }
    std::string
    whole() const
    {
        return std::string((const char *)events.whole->data,
                           events.whole->len);
    }
    void
    restart()
    {
        TearDown();
        SetUp();
    }

    cq_events_t events;
};

TEST_F(Events, AreWholeInPiecesOfAnySize)
{
    const std::string stream = "id: 1\ndata: a\n\n"
                               "\n\n\nid: 2\ndata: b\n\n"
                               "\nid: 3\ndata: c\nmore: d\n\n";
    for (size_t piece = 1; piece <= stream.size(); piece++) {
        EXPECT_EQ(feed(stream + "\n", piece), 3) << piece;
        EXPECT_EQ(whole(), stream) << piece;
        EXPECT_EQ(events.last, 3) << piece;
        EXPECT_FALSE(cq_events_is_torn(&events)) << piece;
        EXPECT_EQ(feed("id: 4", piece), 0) << piece;
        EXPECT_TRUE(cq_events_is_torn(&events)) << piece;
        restart();
    }
}

// Bytes that are no event, from a replica in trouble.
TEST_F(Events, BlankLinesAreNoEvents)
{
    const std::string blank(100 * 1000, '\n');
    EXPECT_EQ(feed(blank, 1), 0);
    EXPECT_EQ(whole(), "");
    EXPECT_EQ(events.unparsed->len, blank.size());
    EXPECT_EQ(events.searched_len, blank.size());
}

TEST_F(Events, OfAResumedStreamMayFollowBlankLines)
{
    events.resumes = TRUE;
    events.last = 1;
    EXPECT_EQ(feed("\n\nid: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n", 3), 1);
    EXPECT_EQ(events.last, 2);
}

} // namespace
