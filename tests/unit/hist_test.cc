// The histogram and its output as metrics.
#include <gtest/gtest.h>

#include <string>

#include "base/hist.h"

namespace {

std::string
render(const cq_hist_t &hist)
{
    GString *out = g_string_new("");
    cq_hist_render(&hist, "t", out);
    std::string text(out->str);
    g_string_free(out, TRUE);
    return text;
}

TEST(Hist, BucketsAreCumulativeAndIncludeTheirUpperBound)
{
    cq_hist_t hist = {};
    cq_hist_add(&hist, 5000);
    cq_hist_add(&hist, 5001);
    cq_hist_add(&hist, 1500000);
    std::string text = render(hist);
    EXPECT_NE(text.find("t_bucket{le=\"0.005\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("t_bucket{le=\"0.010\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("t_bucket{le=\"1.000\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("t_bucket{le=\"1.500\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("t_sum 1.510001\n"), std::string::npos);
    EXPECT_NE(text.find("t_count 3\n"), std::string::npos);
}

TEST(Hist, TimesAboveEveryBoundAreInTheLastBucketOnly)
{
    cq_hist_t hist = {};
    cq_hist_add(&hist, 61 * G_USEC_PER_SEC);
    std::string text = render(hist);
    EXPECT_NE(text.find("t_bucket{le=\"60.000\"} 0\n"), std::string::npos);
    EXPECT_NE(text.find("t_bucket{le=\"+Inf\"} 1\n"), std::string::npos);
}

TEST(Hist, ANegativeTimeCountsAsZero)
{
    cq_hist_t hist = {};
    cq_hist_add(&hist, -3);
    std::string text = render(hist);
    EXPECT_NE(text.find("t_bucket{le=\"0.005\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find("t_sum 0.000000\n"), std::string::npos);
}

} // namespace
