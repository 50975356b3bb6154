// Records of the platform's store that another writer has left: nested deeply,
// or with numbers, ports or names out of range.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "platform/records.h"

namespace {

// Has each number that is checked once.
const char *const kConfig =
    R"({"version":7,
 "routes":[
  {"name":"a","host":"one.example","path_prefix":"/x/","type":"streaming",
   "timeout_ms":10000,"goal_ms":300,"gap_aim_ms":200,"attempts":2,
   "priority":1,"split":[{"service":"m","weight":90}]}],
 "services":[
  {"name":"m","engine":{"slots":16,"kv_tokens":450000,"stride":46,
   "step_ms":0.925,"per_seq_ms":0.005,"context_per_k":0.0025,
   "read_per_s":256000.0,"pairs_per_m":0.0917,"hop_ms":0.1}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

cq_routes_t *
parse_routes(const std::string &text, cq_error_t *error)
{
    return cq_records_parse_routes(text.data(), text.size(), error);
}

gboolean
parse_upstream(const std::string &text, cq_host_row_t *row)
{
    cq_error_t error = {};
    gboolean valid = cq_records_parse_upstream("i-1", text.data(), text.size(),
                                               row, &error);
    EXPECT_EQ(valid, error.text[0] == '\0') << error.text;
    return valid;
}

TEST(OddRoutes, TheConfigurationOfTheseTestsIsValid)
{
    cq_error_t error = {};
    cq_routes_t *routes = parse_routes(kConfig, &error);
    ASSERT_NE(routes, nullptr) << error.text;
    cq_routes_free(routes);
}

// A valid configuration, in which the first member of this name has this
// number.
std::string
config_with(const std::string &member, const std::string &number)
{
    std::string text = kConfig;
    size_t at = text.find("\"" + member + "\":");
    EXPECT_NE(at, std::string::npos) << member;
    size_t begin = at + member.size() + 3;
    size_t end = text.find_first_of(",}", begin);
    return text.replace(begin, end - begin, number);
}

TEST(OddRoutes, RejectsNumbersOutOfRange)
{
    const char *const numbers[] = {
        "18446744073709551616",
        "18446744073709551615",
        "9223372036854775808",
        "9223372036854775807",
        "-9223372036854775809",
        "1e400",
        "-1e400",
        "-1",
        "9007199254740993",
    };
    const char *const members[] = {
        "version",          "timeout_ms",
        "goal_ms",          "gap_aim_ms",
        "attempts",         "priority",
        "weight",           "slots",
        "kv_tokens",        "stride",
        "step_ms",          "per_seq_ms",
        "context_per_k",    "read_per_s",
        "pairs_per_m",      "hop_ms",
        "max_header_bytes", "max_body_bytes",
        "idle_timeout_ms",  "header_timeout_ms",
    };
    for (const char *member : members) {
        for (const char *number : numbers) {
            cq_error_t error = {};
            EXPECT_EQ(parse_routes(config_with(member, number), &error),
                      nullptr)
                << member << " " << number;
            EXPECT_EQ(error.kind, CQ_ERROR_VALUE) << member << " " << number;
            EXPECT_NE(strstr(error.text, member), nullptr) << error.text;
        }
    }
    cq_error_t error = {};
    EXPECT_EQ(parse_routes(config_with("version", "7.5"), &error), nullptr);
}

TEST(OddRoutes, RejectsDeepNesting)
{
    for (const std::string &text :
         {std::string(100000, '['),
          "{\"version\":1,\"new\":" + std::string(100000, '[') +
              std::string(100000, ']') + "}"}) {
        cq_error_t error = {};
        EXPECT_EQ(parse_routes(text, &error), nullptr);
        EXPECT_EQ(error.kind, CQ_ERROR_LIMIT);
    }
}

// An upstream's entry with these texts for some members.
std::string
entry_with(const std::string &address, const std::string &slots,
           const std::string &born)
{
    return "{\"service\":\"m\",\"address\":\"" + address +
           "\",\"zone\":\"a\",\"slots\":" + slots +
           ",\"state\":\"ready\",\"born\":" + born + "}";
}

TEST(OddUpstreams, RejectsPortsOutOfRange)
{
    cq_host_row_t row;
    for (const char *address :
         {"10.0.0.9:1", "10.0.0.9:65535", "255.0.0.1:80"}) {
        EXPECT_TRUE(parse_upstream(entry_with(address, "1", "1"), &row))
            << address;
    }
    for (const char *address : {"10.0.0.9:0",
                                "10.0.0.9:65536",
                                "10.0.0.9:99999",
                                "10.0.0.9:8080x",
                                "10.0.0.9:",
                                "10.0.0.9",
                                "",
                                ":",
                                ":80",
                                "10.0.0.9:-1",
                                "10.0.0.9:+80",
                                "10.0.0.9: 80",
                                "10.0.0.9:8e1",
                                "10.0.0.9:0x50",
                                "10.0.0.9:18446744073709551696",
                                "10.0.0:80",
                                "10.0.0.256:80",
                                "name:80",
                                "10.0.0.9:80/x",
                                "10.0.0.9:80,10.0.0.8:80",
                                "10.0.0.9:80\\r\\nX: 1"}) {
        EXPECT_FALSE(parse_upstream(entry_with(address, "1", "1"), &row))
            << address;
    }
}

TEST(OddUpstreams, RejectsNumbersOutOfRange)
{
    cq_host_row_t row;
    EXPECT_TRUE(
        parse_upstream(entry_with("1.2.3.4:5", "16", "1700000000123"), &row));
    for (const char *number :
         {"18446744073709551616", "18446744073709551615",
          "18446744073709551632", "9223372036854775808", "9223372036854775807",
          "-9223372036854775809", "1e400", "-1e400", "-1", "1.5",
          "9007199254740993"}) {
        EXPECT_FALSE(
            parse_upstream(entry_with("1.2.3.4:5", number, "1"), &row))
            << number;
        EXPECT_FALSE(
            parse_upstream(entry_with("1.2.3.4:5", "1", number), &row))
            << number;
    }
}

TEST(OddUpstreams, RejectsDeepNesting)
{
    cq_host_row_t row;
    std::string open(100000, '[');
    std::string close(100000, ']');
    EXPECT_FALSE(parse_upstream(open, &row));
    EXPECT_FALSE(parse_upstream(entry_with("1.2.3.4:5", open, "1"), &row));
    EXPECT_FALSE(
        parse_upstream(entry_with("1.2.3.4:5", open + close, "1"), &row));
    EXPECT_FALSE(parse_upstream(
        entry_with("1.2.3.4:5", "1", "1,\"new\":" + open + close), &row));
}

// A name is sent to its upstream in a header field.
TEST(OddUpstreams, RejectsNamesWithControlCharacters)
{
    std::string text = entry_with("1.2.3.4:5", "1", "1");
    for (const char *name : {"", "a\r\nX: 1", "a\tb", "a\x7f"}) {
        cq_host_row_t row;
        cq_error_t error = {};
        EXPECT_FALSE(cq_records_parse_upstream(name, text.data(), text.size(),
                                               &row, &error))
            << name;
        EXPECT_STRNE(error.text, "");
    }
}

TEST(OddHosts, RejectsOddEntries)
{
    for (const std::string &text :
         {std::string("{\"address\":\"10.1.0.4:0\",\"zone\":\"a\"}"),
          std::string("{\"address\":\"10.1.0.4:70000\",\"zone\":\"a\"}"),
          std::string("{\"address\":\"10.1.0.4:9\",\"zone\":\"a\","
                      "\"born\":1e400}"),
          std::string("{\"address\":\"10.1.0.4:9\",\"zone\":\"a\","
                      "\"born\":-1}"),
          std::string(100000, '[')}) {
        cq_host_row_t row;
        cq_error_t error = {};
        EXPECT_FALSE(
            cq_records_parse_host("h", text.data(), text.size(), &row, &error))
            << text.substr(0, 80);
        EXPECT_STRNE(error.text, "");
    }
}

} // namespace
