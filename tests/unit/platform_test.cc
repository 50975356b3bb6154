// Decoding of the platform's records and header fields, valid and invalid.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "platform/headers.h"
#include "platform/records.h"
#include "platform/rows.h"

namespace {

// The ids of the shared parts that a request with this field names.
std::vector<guint64>
parts_of(const char *value)
{
    std::vector<guint64> ids;
    cq_h1_head_t head = {};
    head.fields = g_array_new(FALSE, FALSE, sizeof(cq_h1_field_t));
    cq_h1_field_t field = {(char *)"Cuminquay-Prefix-Hash", (char *)value};
    g_array_append_val(head.fields, field);
    cq_request_fields_t fields = cq_headers_parse_request(&head);
    ids.assign(fields.parts.ids, fields.parts.ids + fields.parts.len);
    g_array_unref(head.fields);
    return ids;
}

TEST(Parts, TheLastOneIsNotShared)
{
    using ids_t = std::vector<guint64>;
    EXPECT_EQ(parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
              (ids_t{0x5c1e07a2, 0x91bd3f06}));
    EXPECT_EQ(parts_of(" A:1 , b:2,c:3"), (ids_t{0xa, 0xb}));
    EXPECT_EQ(parts_of("a:1,a:1,b:2"), (ids_t{0xa}));
    EXPECT_TRUE(parts_of("a:1").empty());
    EXPECT_EQ(parts_of("ffffffffffffffff:1,b:2"), (ids_t{G_MAXUINT64}));
}

TEST(Parts, LongIdsAreToldApart)
{
    std::string one = std::string(31, 'a') + "1:1,b:2";
    std::string other = std::string(31, 'a') + "2:1,b:2";
    ASSERT_EQ(parts_of(one.c_str()).size(), 1u);
    EXPECT_NE(parts_of(one.c_str()), parts_of(other.c_str()));
}

TEST(Parts, AMalformedListHasNone)
{
    for (const char *value :
         {"", ",", "a", "a:", "a:x,b:1", "g:1,b:2", "a:1,,b:2", "a:1,b:2,"}) {
        EXPECT_TRUE(parts_of(value).empty()) << value;
    }
}

TEST(Parts, FurtherOnesThanTheLimitAreIgnored)
{
    std::string value;
    for (int i = 1; i <= 40; i++) {
        value += std::to_string(i) + ":1,";
    }
    EXPECT_EQ(parts_of((value + "a:1").c_str()).size(),
              (size_t)CQ_PROMPT_PARTS_MAX);
}

const char *const kConfig =
    R"({"version":7,
 "routes":[
  {"name":"a","host":"One.example","path_prefix":"/x/","type":"streaming",
   "timeout_ms":10000,"goal_ms":300,"gap_aim_ms":200,"attempts":2,
   "priority":1,"public":false,"resumable":true,
   "split":[{"service":"m","weight":90},{"service":"n","weight":10}]},
  {"name":"b","host":"one.example","path_prefix":"/x/y/","type":"unsafe",
   "timeout_ms":1500,"goal_ms":300,"attempts":1,"public":true,
   "service":"n"},
  {"name":"c","host":"one.example","path_prefix":"/s/","type":"safe",
   "timeout_ms":1500,"goal_ms":300,"attempts":2,"public":false,
   "service":"n"}],
 "services":[
  {"name":"m","engine":{"slots":16,"kv_tokens":450000,"stride":46,
   "step_ms":0.925,"per_seq_ms":0.005,"context_per_k":0.0025,
   "read_per_s":256000.0,"pairs_per_m":0.0917,"hop_ms":0.1}},
  {"name":"n"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}],
 "later":{"field":1}})";

cq_routes_t *
parse_routes(const std::string &text, cq_error_t *error)
{
    return cq_records_parse_routes(text.data(), text.size(), error);
}

TEST(Routes, LongestPathPrefixWins)
{
    cq_error_t error = {};
    cq_routes_t *routes = parse_routes(kConfig, &error);
    ASSERT_NE(routes, nullptr) << error.text;
    EXPECT_EQ(routes->version, 7u);
    const cq_route_t *shorter = cq_routes_find(routes, "one.example", "/x/z");
    const cq_route_t *longer =
        cq_routes_find(routes, "ONE.example:80", "/x/y/z?q=/s/");
    ASSERT_NE(shorter, nullptr);
    ASSERT_NE(longer, nullptr);
    EXPECT_EQ(shorter->retry_policy, CQ_RETRY_RESUME);
    EXPECT_EQ(shorter->target_us, 300000);
    EXPECT_EQ(shorter->gap_max_us, 200000);
    EXPECT_EQ(shorter->attempts_max, 2u);
    EXPECT_EQ(longer->retry_policy, CQ_RETRY_NEVER);
    EXPECT_TRUE(longer->is_public);
    EXPECT_EQ(cq_routes_find(routes, "one.example", "/s/")->retry_policy,
              CQ_RETRY_ALWAYS);
    EXPECT_EQ(cq_routes_find(routes, "one.example", "/x"), nullptr);
    EXPECT_EQ(cq_routes_find(routes, "two.example", "/x/"), nullptr);
    EXPECT_EQ(cq_routes_find(routes, "one.example", "/q?/x/"), nullptr);
    cq_routes_free(routes);
}

TEST(Routes, SplitsRequestsByWeight)
{
    cq_error_t error = {};
    cq_routes_t *routes = parse_routes(kConfig, &error);
    const cq_route_t *route = cq_routes_find(routes, "one.example", "/x/");
    EXPECT_STREQ(cq_route_pick(route, 0), "m");
    EXPECT_STREQ(cq_route_pick(route, 0.899), "m");
    EXPECT_STREQ(cq_route_pick(route, 0.901), "n");
    EXPECT_STREQ(cq_route_pick(route, 0.999), "n");
    cq_routes_free(routes);
}

TEST(Routes, FindsTheTeamOfAKey)
{
    cq_error_t error = {};
    cq_routes_t *routes = parse_routes(kConfig, &error);
    EXPECT_STREQ(cq_routes_team_by_key(routes, "k2"), "t");
    EXPECT_EQ(cq_routes_team_by_key(routes, "k3"), nullptr);
    cq_routes_free(routes);
}

TEST(Routes, ParsesTheCostModelOfEngines)
{
    cq_error_t error = {};
    cq_routes_t *routes = parse_routes(kConfig, &error);
    const cq_rules_t *model =
        (const cq_rules_t *)g_ptr_array_index(routes->rules, 0);
    const cq_rules_t *plain =
        (const cq_rules_t *)g_ptr_array_index(routes->rules, 1);
    EXPECT_EQ(model->kind, CQ_SERVICE_BATCH);
    EXPECT_EQ(plain->kind, CQ_SERVICE_PLAIN);
    EXPECT_EQ(model->speed.steps_per_pass, 46);
    EXPECT_DOUBLE_EQ(model->speed.step_us, 925);
    EXPECT_NEAR(model->speed.prefill_token_us, 3.906, 0.001);
    EXPECT_NEAR(model->speed.pair_us, 9.17e-5, 1e-9);
    EXPECT_NEAR(model->speed.context_us, 0.0025, 1e-9);
    cq_routes_free(routes);
}

TEST(Routes, RejectsInvalidRecordsWithAReason)
{
    const char *const bad[] = {
        "",
        "[]",
        "{\"version\":1",
        "{\"routes\":[]}",
    };
    for (const char *text : bad) {
        cq_error_t error = {};
        EXPECT_EQ(parse_routes(text, &error), nullptr) << text;
        EXPECT_STRNE(error.text, "") << text;
    }
}

TEST(Routes, IgnoresKeysThatAreNotStrings)
{
    cq_error_t error = {};
    cq_routes_t *routes =
        parse_routes("{\"version\":1,\"tenants\":[{\"name\":\"t\","
                     "\"api_keys\":[5,\"k\",null,{}]}]}",
                     &error);
    ASSERT_NE(routes, nullptr) << error.text;
    EXPECT_STREQ(cq_routes_team_by_key(routes, "k"), "t");
    cq_routes_free(routes);
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

TEST(Upstreams, ParsesAValidEntry)
{
    cq_host_row_t row;
    ASSERT_TRUE(
        parse_upstream("{\"service\":\"m\",\"address\":\"10.0.0.9:80\","
                       "\"zone\":\"a\",\"slots\":16,\"state\":\"ready\","
                       "\"born\":1700000000123,\"new\":[]}",
                       &row));
    EXPECT_STREQ(row.name, "i-1");
    EXPECT_STREQ(row.service, "m");
    EXPECT_STREQ(row.addr, "10.0.0.9:80");
    EXPECT_EQ(row.incarnation, 1700000000123u);
    EXPECT_FALSE(row.leaving);
}

TEST(Upstreams, ParsesTheStateDraining)
{
    cq_host_row_t row;
    ASSERT_TRUE(
        parse_upstream("{\"service\":\"m\",\"address\":\"10.0.0.9:80\","
                       "\"zone\":\"a\",\"slots\":16,"
                       "\"state\":\"draining\"}",
                       &row));
    EXPECT_TRUE(row.leaving);
}

TEST(Upstreams, RejectsTruncatedAndInvalidEntries)
{
    const char *const bad[] = {
        "",
        "\xff\xfe",
        "{\"service\":\"m\"}",
        "{\"service\":5,\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
        "\"slots\":1,\"state\":\"ready\"}",
        "{\"service\":\"m\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
        "\"slots\":1,\"state\":\"dancing\"}",
        "{\"service\":\"m\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
        "\"slots\":\"1\",\"state\":\"ready\"}",
        "{\"service\":\"\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
        "\"slots\":1,\"state\":\"ready\"}",
        "{\"service\":\"m\",\"address\":\"1.2.3.4:5\",\"zone\":\"a\","
        "\"slots\":1,\"state\":\"ready\"",
    };
    for (const char *text : bad) {
        cq_host_row_t row;
        EXPECT_FALSE(parse_upstream(text, &row)) << text;
    }
}

TEST(Hosts, EntryIsDecodedAsItWasEncoded)
{
    cq_host_row_t row = {};
    g_strlcpy(row.addr, "10.1.0.4:9", sizeof row.addr);
    g_strlcpy(row.zone, "a", sizeof row.zone);
    row.incarnation = 1700000000456;
    char *text = cq_rows_format_host(&row);
    cq_host_row_t decoded;
    cq_error_t error = {};
    ASSERT_TRUE(cq_rows_parse_host("h", text, strlen(text), &decoded, &error));
    EXPECT_STREQ(decoded.addr, row.addr);
    EXPECT_EQ(decoded.incarnation, row.incarnation);
    EXPECT_STREQ(decoded.service, "");
    EXPECT_STREQ(decoded.callers, "");
    g_free(text);
    g_strlcpy(row.callers, "10.1.0.4:80", sizeof row.callers);
    text = cq_rows_format_host(&row);
    ASSERT_TRUE(cq_rows_parse_host("h", text, strlen(text), &decoded, &error));
    EXPECT_STREQ(decoded.callers, row.callers);
    EXPECT_STREQ(decoded.addr, row.addr);
    g_free(text);
}

TEST(Hosts, AMalformedAddressForCallersLeavesTheRestValid)
{
    for (const char *callers :
         {"7", "null", "\"\"", "\"10.1.0.4\"", "\"10.1.0.4:\"",
          "\"10.1.0.4:0\"", "\"10.1.0.4:65536\"", "\"10.1.0.4:8x\"",
          "\"host:80\"", "\"0.0.0.0:80\"",
          "\"10.1.0.4:000000000000000000000000000000000000000000000000000000"
          "0000000000000000000000000000000000000000000000000000080\""}) {
        std::string text = "{\"address\":\"10.1.0.4:9\",\"zone\":\"a\","
                           "\"born\":5,\"callers\":" +
                           std::string(callers) + "}";
        cq_host_row_t row;
        cq_error_t error = {};
        EXPECT_TRUE(
            cq_rows_parse_host("h", text.data(), text.size(), &row, &error))
            << callers;
        EXPECT_STREQ(row.callers, "") << callers;
        EXPECT_STREQ(row.addr, "10.1.0.4:9");
        EXPECT_EQ(row.incarnation, 5u);
    }
}

// Keeps a copy of a parsed head.
struct parsed_head_t {
    cq_h1_head_t head = {};
};

void
copy_head(void *data, const cq_h1_head_t *head)
{
    cq_h1_copy_head(&((parsed_head_t *)data)->head, head);
}

void
ignore_body(void *data, const char *bytes, gsize len)
{
    (void)data;
    (void)bytes;
    (void)len;
}

void
ignore_done(void *data)
{
    (void)data;
}

parsed_head_t
parse_head(const std::string &text, gboolean is_response)
{
    parsed_head_t parsed;
    cq_h1_options_t options = {};
    options.parse_responses = is_response;
    options.ops = {copy_head, ignore_body, ignore_done, &parsed};
    cq_h1_t *reader = cq_h1_new(&options);
    cq_h1_feed(reader, text.data(), text.size());
    cq_h1_free(reader);
    return parsed;
}

TEST(Heads, ParsesARequestsFields)
{
    parsed_head_t parsed = parse_head("POST /a HTTP/1.1\r\nHost: h\r\n"
                                      "Cuminquay-Attempt-Id: 9c\r\n"
                                      "Cuminquay-Token-Count: 1460,80\r\n"
                                      "Cuminquay-Deadline-Ms: 900\r\n"
                                      "Cuminquay-Credential: k1\r\n\r\n",
                                      FALSE);
    cq_request_fields_t fields = cq_headers_parse_request(&parsed.head);
    EXPECT_STREQ(fields.host, "h");
    EXPECT_STREQ(fields.attempt_id, "9c");
    EXPECT_STREQ(fields.key, "k1");
    EXPECT_EQ(fields.prompt_tokens, 1460);
    EXPECT_EQ(fields.answer_tokens, 80);
    EXPECT_EQ(fields.time_left_us, 900000);
    cq_h1_clear_head(&parsed.head);
}

TEST(Heads, IgnoresInvalidValues)
{
    parsed_head_t parsed = parse_head("POST /a HTTP/1.1\r\n"
                                      "Cuminquay-Token-Count: many\r\n"
                                      "Cuminquay-Deadline-Ms: -5\r\n\r\n",
                                      FALSE);
    cq_request_fields_t fields = cq_headers_parse_request(&parsed.head);
    EXPECT_EQ(fields.prompt_tokens, 0);
    EXPECT_EQ(fields.time_left_us, 0);
    EXPECT_EQ(fields.host, nullptr);
    cq_h1_clear_head(&parsed.head);
}

TEST(Heads, ForwardsTheCallersFieldsWithoutItsKey)
{
    parsed_head_t parsed =
        parse_head("POST /a?b HTTP/1.1\r\nHost: h\r\n"
                   "Cuminquay-Attempt-Id: 9c\r\n"
                   "Cuminquay-Credential: secret\r\n"
                   "Cuminquay-Tenant: forged\r\n"
                   "Cuminquay-Expect-Replica: forged\r\n"
                   "Cuminquay-Helpers: forged\r\n"
                   "Entry-Host-Forwarded: forged\r\n"
                   "Cuminquay-Deadline-Ms: 99999\r\n"
                   "Last-Event-Id: 3\r\n"
                   "Connection: x-hop\r\nX-Hop: 1\r\nX-Other: 2\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                   FALSE);
    cq_forwarded_request_t forward = {};
    forward.head = &parsed.head;
    forward.body_len = 0;
    forward.upstream = "i-1";
    forward.team = "t";
    forward.time_left_us = 800000;
    forward.last_event = "12";
    forward.helpers = "10.0.0.1:80/x";
    GString *out = g_string_new("");
    cq_headers_append_request(out, &forward);
    EXPECT_STREQ(out->str, "POST /a?b HTTP/1.1\r\n"
                           "Host: h\r\n"
                           "Cuminquay-Attempt-Id: 9c\r\n"
                           "X-Other: 2\r\n"
                           "Content-Length: 0\r\n"
                           "Cuminquay-Deadline-Ms: 800\r\n"
                           "Cuminquay-Expect-Replica: i-1\r\n"
                           "Cuminquay-Tenant: t\r\n"
                           "Last-Event-Id: 12\r\n"
                           "Cuminquay-Helpers: 10.0.0.1:80/x\r\n"
                           "\r\n");
    g_string_free(out, TRUE);
    cq_h1_clear_head(&parsed.head);
}

TEST(Heads, PassesACallersRequestOnToAnEntryHost)
{
    parsed_head_t parsed =
        parse_head("POST /a?b HTTP/1.1\r\nHost: h\r\n"
                   "Cuminquay-Attempt-Id: 9c\r\n"
                   "Cuminquay-Credential: secret\r\n"
                   "Cuminquay-Request-Urgency: 2\r\n"
                   "Cuminquay-Tenant: forged\r\n"
                   "Cuminquay-Expect-Replica: forged\r\n"
                   "Cuminquay-Helpers: forged\r\n"
                   "Cuminquay-Token-Count: 1460,80\r\n"
                   "Cuminquay-Prefix-Hash: 1:5,2:6\r\n"
                   "Cuminquay-Deadline-Ms: 99999\r\n"
                   "Last-Event-Id: 3\r\n"
                   "Connection: x-hop\r\nX-Hop: 1\r\nX-Other: 2\r\n"
                   "Content-Length: 2\r\n\r\nab",
                   FALSE);
    EXPECT_FALSE(cq_headers_parse_request(&parsed.head).handed);
    cq_forwarded_request_t forward = {};
    forward.head = &parsed.head;
    forward.body_len = 2;
    forward.time_left_us = 800000;
    GString *out = g_string_new("");
    cq_headers_append_handed(out, &forward);
    EXPECT_STREQ(out->str, "POST /a?b HTTP/1.1\r\n"
                           "Host: h\r\n"
                           "Cuminquay-Attempt-Id: 9c\r\n"
                           "Cuminquay-Credential: secret\r\n"
                           "Cuminquay-Request-Urgency: 2\r\n"
                           "Cuminquay-Token-Count: 1460,80\r\n"
                           "Cuminquay-Prefix-Hash: 1:5,2:6\r\n"
                           "Last-Event-Id: 3\r\n"
                           "X-Other: 2\r\n"
                           "Content-Length: 2\r\n"
                           "Cuminquay-Deadline-Ms: 800\r\n"
                           "Entry-Host-Forwarded: 1\r\n"
                           "\r\n");
    parsed_head_t passed_on = parse_head(out->str, FALSE);
    EXPECT_TRUE(cq_headers_parse_request(&passed_on.head).handed);
    cq_h1_clear_head(&passed_on.head);
    // The events up to the last one sent to the caller aren't sent again.
    g_string_truncate(out, 0);
    forward.last_event = "12";
    cq_headers_append_handed(out, &forward);
    EXPECT_NE(nullptr, strstr(out->str, "\r\nLast-Event-Id: 12\r\n"));
    EXPECT_EQ(nullptr, strstr(out->str, "Last-Event-Id: 3"));
    g_string_free(out, TRUE);
    cq_h1_clear_head(&parsed.head);
}

TEST(Heads, ParsesAResponsesFields)
{
    parsed_head_t parsed = parse_head("HTTP/1.1 503 X\r\nContent-Length: 0\r\n"
                                      "Cuminquay-Not-Executed: 1\r\n"
                                      "At-Server: 10.0.0.2:80\r\n"
                                      "Keep-Alive: max=5, timeout=7\r\n\r\n",
                                      TRUE);
    cq_response_fields_t fields = cq_headers_parse_response(&parsed.head);
    EXPECT_TRUE(fields.not_run);
    EXPECT_FALSE(fields.misdirected);
    EXPECT_FALSE(fields.sealed);
    EXPECT_STREQ(fields.at_fault, "10.0.0.2:80");
    EXPECT_EQ(fields.keep_alive_us, 7 * 1000000);
    EXPECT_FALSE(fields.leaving);
    EXPECT_EQ(fields.pause_us, 0);
    cq_h1_clear_head(&parsed.head);
}

TEST(Heads, ParsesWhatAnUpstreamSaysOfItself)
{
    const struct {
        const char *status;
        const char *retry_after;
        gint64 pause_us;
    } cases[] = {
        {"503", "2", 2000000},
        {"503", "0.25", 250000},
        {"503", "0", 0},
        {"503", "-3", 0},
        {"503", "nan", 0},
        {"503", "1e30", CQ_UPSTREAM_PAUSE_MAX_US},
        {"503", "inf", CQ_UPSTREAM_PAUSE_MAX_US},
        {"503", "2 s", 0},
        {"503", "", 0},
        {"503", "Fri, 04 Dec 2026 11:00:00 GMT", 0},
        {"429", "2", 0},
        {"200", "2", 0},
    };
    for (const auto &c : cases) {
        std::string text =
            std::string("HTTP/1.1 ") + c.status +
            " X\r\nContent-Length: 0\r\nRetry-After: " + c.retry_after +
            "\r\nServer-Leaving: 1\r\nCuminquay-Not-Executed: 1\r\n\r\n";
        parsed_head_t parsed = parse_head(text.c_str(), TRUE);
        cq_response_fields_t fields = cq_headers_parse_response(&parsed.head);
        EXPECT_EQ(fields.pause_us, c.pause_us) << c.retry_after;
        EXPECT_TRUE(fields.leaving);
        cq_h1_clear_head(&parsed.head);
    }
}

// A request that runs and is answered 503 by the service, at a caller's will,
// and a middlebox in front of the upstream.
TEST(Heads, OnlyAnUpstreamItselfLeavesAndOnlyARefusalAsksForAPause)
{
    const struct {
        const char *fields;
        gboolean leaving;
    } cases[] = {
        {"Cuminquay-Replica-Seal: s\r\nServer-Leaving: 1\r\n", TRUE},
        {"Cuminquay-Replica-Seal: s\r\n", FALSE},
        {"Server-Leaving: 1\r\n", FALSE},
    };
    for (const auto &c : cases) {
        std::string text =
            std::string("HTTP/1.1 503 X\r\nContent-Length: 0\r\n"
                        "Retry-After: 3600\r\n") +
            c.fields + "\r\n";
        parsed_head_t parsed = parse_head(text.c_str(), TRUE);
        cq_response_fields_t fields = cq_headers_parse_response(&parsed.head);
        EXPECT_EQ(fields.pause_us, 0) << c.fields;
        EXPECT_EQ(fields.leaving, c.leaving) << c.fields;
        cq_h1_clear_head(&parsed.head);
    }
}

TEST(Heads, ParsesTheRateLimitOfAnUpstream)
{
    const struct {
        const char *status;
        const char *fields;
        cq_rate_kind_t kind;
        double per_s;
    } cases[] = {
        {"200", "Server-Limit: 1.7\r\n", CQ_RATE_LIMITED, 1.7},
        {"200", "server-limit: 0\r\n", CQ_RATE_LIMITED, 0},
        {"500", "Server-Limit: 0.2\r\n", CQ_RATE_LIMITED, 0.2},
        {"200", "Server-Limit: 99999999999\r\n", CQ_RATE_LIMITED,
         CQ_RATE_PER_S_MAX},
        {"200", "Server-Limit: 3\r\nServer-Limit: 2\r\n", CQ_RATE_LIMITED, 2},
        {"200", "Server-Limit: 3\r\nServer-Limit: x\r\n", CQ_RATE_LIMITED, 3},
        {"200", "", CQ_RATE_UNLIMITED, 0},
        {"200", "Server-Limit:\r\n", CQ_RATE_UNSTATED, 0},
        {"200", "Server-Limit: .\r\n", CQ_RATE_UNSTATED, 0},
        {"200", "Server-Limit: -1\r\n", CQ_RATE_UNSTATED, 0},
        {"200", "Server-Limit: 1e3\r\n", CQ_RATE_UNSTATED, 0},
        {"200", "Server-Limit: nan\r\n", CQ_RATE_UNSTATED, 0},
        {"200", "Server-Limit: inf\r\n", CQ_RATE_UNSTATED, 0},
        {"200", "Server-Limit: 1.7 a second\r\n", CQ_RATE_UNSTATED, 0},
        {"421", "Server-Limit: 1\r\n", CQ_RATE_UNSTATED, 0},
    };
    for (const auto &c : cases) {
        std::string text = std::string("HTTP/1.1 ") + c.status +
                           " X\r\nContent-Length: 0\r\n"
                           "Cuminquay-Replica-Seal: s\r\n" +
                           c.fields + "\r\n";
        parsed_head_t parsed = parse_head(text.c_str(), TRUE);
        cq_response_fields_t fields = cq_headers_parse_response(&parsed.head);
        EXPECT_EQ(fields.rate.kind, c.kind) << text;
        EXPECT_EQ(fields.rate.per_s, c.per_s) << text;
        cq_h1_clear_head(&parsed.head);
    }
}

// An answer that is not the upstream's own says nothing of its limit.
TEST(Heads, TakesNoRateLimitFromOthers)
{
    parsed_head_t parsed = parse_head("HTTP/1.1 200 X\r\nContent-Length: 0\r\n"
                                      "Server-Limit: 1\r\n\r\n",
                                      TRUE);
    EXPECT_EQ(cq_headers_parse_response(&parsed.head).rate.kind,
              CQ_RATE_UNSTATED);
    cq_h1_clear_head(&parsed.head);
    parsed = parse_head("HTTP/1.1 503 X\r\nContent-Length: 0\r\n"
                        "Cuminquay-Not-Executed: 1\r\n"
                        "Server-Limit: 1\r\n\r\n",
                        TRUE);
    EXPECT_EQ(cq_headers_parse_response(&parsed.head).rate.kind,
              CQ_RATE_LIMITED);
    cq_h1_clear_head(&parsed.head);
}

} // namespace
