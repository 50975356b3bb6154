// Runs every scenario in tests/scn and compares its output with the .expected
// file.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "bench/scn.h"

namespace {

std::vector<std::string>
scenarios()
{
    std::vector<std::string> names;
    GDir *dir = g_dir_open(SCN_DIR, 0, nullptr);
    const char *name;
    while ((name = g_dir_read_name(dir)) != nullptr) {
        if (g_str_has_suffix(name, ".scn")) {
            names.push_back(std::string(name, strlen(name) - 4));
        }
    }
    g_dir_close(dir);
    std::sort(names.begin(), names.end());
    return names;
}

std::string
read(const std::string &path)
{
    char *text = nullptr;
    EXPECT_TRUE(g_file_get_contents(path.c_str(), &text, nullptr, nullptr))
        << path;
    std::string copy = text != nullptr ? text : "";
    g_free(text);
    return copy;
}

class Scenario : public testing::TestWithParam<std::string> {};

TEST_P(Scenario, HasTheExpectedTimeLine)
{
    std::string base = std::string(SCN_DIR) + "/" + GetParam();
    std::string text = read(base + ".scn");
    GString *output = g_string_new("");
    cq_error_t error = {};
    bool ok = cq_scn_run(text.c_str(), GetParam().c_str(), output, &error);
    EXPECT_TRUE(ok) << error.text;
    EXPECT_EQ(read(base + ".expected"), std::string(output->str));
    g_string_free(output, TRUE);
}

INSTANTIATE_TEST_SUITE_P(All, Scenario, testing::ValuesIn(scenarios()),
                         [](const auto &info) { return info.param; });

} // namespace
