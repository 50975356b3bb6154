// When the core judges time limits.
#include <gtest/gtest.h>

#include <glib-unix.h>
#include <unistd.h>

#include <string>

#include "router/tick.h"

namespace {

constexpr int kStillMs = 400;

struct loop {
    int pipe[2] = {-1, -1};
    std::string seen;
};

gboolean
stand_still(gpointer data)
{
    auto *loop = static_cast<struct loop *>(data);
    g_usleep(kStillMs * 1000);
    EXPECT_EQ(write(loop->pipe[1], "x", 1), 1);
    return G_SOURCE_REMOVE;
}

gboolean
on_arrived(gint fd, GIOCondition, gpointer data)
{
    char byte;
    EXPECT_EQ(read(fd, &byte, 1), 1);
    static_cast<struct loop *>(data)->seen += "arrived ";
    return G_SOURCE_CONTINUE;
}

// Else a connection that opened at once, while the process had no processor,
// counts as one that didn't open in time.
TEST(Tick,
     WhatArrivesWhileTheProcessStandsStillIsReadBeforeTimeLimitsAreJudged)
{
    loop loop;
    ASSERT_EQ(pipe(loop.pipe), 0);
    guint reader = g_unix_fd_add(loop.pipe[0], G_IO_IN, on_arrived, &loop);
    g_timeout_add(0, stand_still, &loop);
    cq_tick_t tick;
    cq_tick_start(
        &tick,
        [](void *data) { static_cast<struct loop *>(data)->seen += "tick "; },
        &loop);
    // Both timers are due in the same iteration.
    g_usleep(50 * 1000);
    for (int i = 0; i < 4; i++) {
        g_main_context_iteration(nullptr, FALSE);
    }
    EXPECT_EQ(loop.seen, "arrived tick ");
    cq_tick_stop(&tick);
    g_source_remove(reader);
    close(loop.pipe[0]);
    close(loop.pipe[1]);
}

gboolean
be_slow(gpointer)
{
    g_usleep(60 * 1000);
    return G_SOURCE_CONTINUE;
}

TEST(Tick, ALoopThatIsSlowAllTheTimeStillTicks)
{
    int ticks = 0;
    guint slow = g_timeout_add(0, be_slow, nullptr);
    cq_tick_t tick;
    cq_tick_start(
        &tick, [](void *data) { ++*static_cast<int *>(data); }, &ticks);
    for (int i = 0; i < 12; i++) {
        g_main_context_iteration(nullptr, FALSE);
    }
    EXPECT_GE(ticks, 4);
    cq_tick_stop(&tick);
    g_source_remove(slow);
}

} // namespace
