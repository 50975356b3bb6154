// Records of the platform's store that another writer has left: nested deeply,
// or with numbers, ports or names out of range.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "platform/records.h"
#include "platform/rows.h"

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
    gboolean valid =
        cq_rows_parse_upstream("i-1", text.data(), text.size(), row, &error);
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

// Whatever a record has, these numbers can be calculated with.
void
expect_in_range(const cq_routes_t *routes)
{
    const auto *route = (const cq_route_t *)g_ptr_array_index(routes->all, 0);
    const auto *rules =
        (const cq_rules_t *)g_ptr_array_index(routes->rules, 0);
    EXPECT_GT(route->timeout_us, 0);
    EXPECT_LE(route->timeout_us, 24 * 3600 * CQ_SECOND_US);
    EXPECT_GT(route->target_us, 0);
    EXPECT_GE(route->gap_max_us, 0);
    EXPECT_GE(route->attempts_max, 1u);
    EXPECT_GE(rules->speed.slots, 1);
    EXPECT_GE(rules->speed.memory_tokens, 0);
    EXPECT_GE(rules->speed.steps_per_pass, 1);
    EXPECT_GE(rules->speed.step_us, 0);
    EXPECT_GT(rules->speed.prefill_token_us, 0);
    EXPECT_GT(routes->head_bytes_max, 0u);
    EXPECT_GT(routes->body_bytes_max, 0u);
    EXPECT_GT(routes->head_timeout_us, 0);
    EXPECT_GT(routes->idle_timeout_us, 0);
}

TEST(OddRoutes, LeavesOutNumbersOutOfRange)
{
    const char *const members[] = {
        "timeout_ms",
        "goal_ms",
        "gap_aim_ms",
        "attempts",
        "priority",
        "weight",
        "slots",
        "kv_tokens",
        "stride",
        "step_ms",
        "per_seq_ms",
        "context_per_k",
        "read_per_s",
        "pairs_per_m",
        "hop_ms",
        "max_header_bytes",
        "max_body_bytes",
        "idle_timeout_ms",
        "header_timeout_ms",
    };
    for (const char *member : members) {
        for (const char *number : numbers) {
            cq_error_t error = {};
            cq_routes_t *routes =
                parse_routes(config_with(member, number), &error);
            ASSERT_NE(routes, nullptr) << member << " " << number;
            ASSERT_EQ(routes->left_out_count, 1u) << member << " " << number;
            const char *why =
                (const char *)g_ptr_array_index(routes->left_out, 0);
            EXPECT_NE(strstr(why, member), nullptr) << why;
            EXPECT_EQ(routes->all->len, 1u);
            EXPECT_EQ(routes->rules->len, 1u);
            expect_in_range(routes);
            cq_routes_free(routes);
        }
    }
}

// Without a version, nothing tells which record is newer.
TEST(OddRoutes, RejectsAVersionOutOfRange)
{
    for (const char *number : numbers) {
        cq_error_t error = {};
        EXPECT_EQ(parse_routes(config_with("version", number), &error),
                  nullptr)
            << number;
        EXPECT_EQ(error.kind, CQ_ERROR_VALUE) << number;
        EXPECT_NE(strstr(error.text, "version"), nullptr) << error.text;
    }
    cq_error_t error = {};
    EXPECT_EQ(parse_routes(config_with("version", "7.5"), &error), nullptr);
}

// A configuration with these teams and one route.
std::string
config_with_teams(const std::string &teams)
{
    return "{\"version\":8,\"tenants\":" + teams +
           ",\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/x/\","
           "\"service\":\"p\"}],\"services\":[{\"name\":\"p\"}]}";
}

// One name of 64 bytes made hosts ignore the version, with all that it
// changed.
TEST(OddRoutes, ATeamThatCantBeReadLeavesTheRestInForce)
{
    for (const std::string &bad :
         {std::string(R"({"name":")") + std::string(64, 'n') +
              R"(","api_keys":["k1"]})",
          std::string(R"({"name":")") + std::string(100000, 'n') +
              R"(","api_keys":["k1"]})",
          std::string(R"({"name":"","api_keys":["k1"]})"),
          std::string(R"({"name":"a\r\nX: 1","api_keys":["k1"]})"),
          std::string(R"({"name":5,"api_keys":["k1"]})"),
          std::string(R"({"api_keys":["k1"]})"), std::string("7"),
          std::string("null"), std::string(R"([{"name":"t"}])")}) {
        cq_error_t error = {};
        cq_routes_t *routes = parse_routes(
            config_with_teams("[" + bad +
                              R"(,{"name":"good","api_keys":["k2"]}])"),
            &error);
        ASSERT_NE(routes, nullptr) << bad.substr(0, 80) << error.text;
        EXPECT_EQ(cq_routes_team_by_key(routes, "k1"), nullptr);
        EXPECT_STREQ(cq_routes_team_by_key(routes, "k2"), "good");
        EXPECT_NE(cq_routes_find(routes, "h", "/x/y"), nullptr);
        EXPECT_EQ(routes->left_out_count, 1u) << bad.substr(0, 80);
        EXPECT_TRUE(routes->needs_key);
        cq_routes_free(routes);
    }
}

TEST(OddRoutes, KeysThatCantBeReadAreLeftOutOneByOne)
{
    cq_error_t error = {};
    cq_routes_t *routes = parse_routes(
        config_with_teams(
            R"([{"name":"t","api_keys":[5,"",null,{},"k",["k3"]]},)"
            R"({"name":"u","api_keys":"k4"}])"),
        &error);
    ASSERT_NE(routes, nullptr) << error.text;
    EXPECT_STREQ(cq_routes_team_by_key(routes, "k"), "t");
    for (const char *key : {"", "k3", "k4", "5"}) {
        EXPECT_EQ(cq_routes_team_by_key(routes, key), nullptr) << key;
    }
    EXPECT_EQ(routes->left_out_count, 2u);
    cq_routes_free(routes);
}

// If all keys are taken away, or none can be read, routes don't become open.
TEST(OddRoutes, NoKeyThatCanBeReadOpensNoRoute)
{
    for (const char *teams : {R"([{"name":"t","api_keys":[]}])",
                              R"([{"name":"t"}])", "[7]", "7", "{}", "null"}) {
        cq_error_t error = {};
        cq_routes_t *routes = parse_routes(config_with_teams(teams), &error);
        ASSERT_NE(routes, nullptr) << teams << error.text;
        EXPECT_TRUE(routes->needs_key) << teams;
        cq_routes_free(routes);
    }
    cq_error_t error = {};
    cq_routes_t *routes = parse_routes(config_with_teams("[]"), &error);
    EXPECT_FALSE(routes->needs_key);
    cq_routes_free(routes);
}

// A route that can be found keeps its place, without targets if need be, so
// that its requests don't go to the service of a shorter prefix.
TEST(OddRoutes, RoutesAndServicesThatCantBeReadLeaveTheRestInForce)
{
    const std::string longest(100000, 's');
    for (
        const std::string &parts : {
            std::string(R"("routes":[7,GOOD],"services":[S])"),
            std::string(R"("routes":[{"host":"a"},GOOD],"services":[S])"),
            std::string(
                R"("routes":[{"path_prefix":"/"},GOOD],"services":[S])"),
            std::string(
                R"("routes":[{"host":5,"path_prefix":"/"},GOOD],"services":[S])"),
            std::string(R"("routes":[GOOD],"services":[{},S])"),
            std::string(R"("routes":[GOOD],"services":[{"name":7},S])"),
            R"("routes":[GOOD],"services":[{"name":")" + longest + R"("},S])",
            std::string(R"("routes":[GOOD],"services":[S],"limits":7)"),
            std::string(R"("routes":[GOOD],"services":[S],"tenants":7)"),
            R"("routes":[GOOD,{"host":"h","path_prefix":"/x/y/","service":")" +
                longest + R"("}],"services":[S])",
        }) {
        std::string text = parts;
        text.replace(text.find("GOOD"), 4,
                     R"({"host":"h","path_prefix":"/x/","service":"p"})");
        text.replace(text.find("S]"), 2, R"({"name":"p"}])");
        cq_error_t error = {};
        cq_routes_t *routes =
            parse_routes("{\"version\":8," + text + "}", &error);
        ASSERT_NE(routes, nullptr) << parts.substr(0, 80) << error.text;
        EXPECT_EQ(routes->left_out_count, 1u) << parts.substr(0, 80);
        const cq_route_t *route = cq_routes_find(routes, "h", "/x/z");
        ASSERT_NE(route, nullptr);
        EXPECT_STREQ(cq_route_pick(route, 0), "p");
        EXPECT_EQ(routes->rules->len, 1u);
        if (parts.find("/x/y/") != std::string::npos) {
            EXPECT_EQ(cq_routes_find(routes, "h", "/x/y/")->targets->len, 0u);
        }
        cq_routes_free(routes);
    }
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
        EXPECT_FALSE(cq_rows_parse_upstream(name, text.data(), text.size(),
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
            cq_rows_parse_host("h", text.data(), text.size(), &row, &error))
            << text.substr(0, 80);
        EXPECT_STRNE(error.text, "");
    }
}

} // namespace
