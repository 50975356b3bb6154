// What an operator is told of a fleet's configuration before it is sent.
#include <gtest/gtest.h>

#include <random>
#include <string>

#include "config/audit.h"
#include "platform/records.h"

namespace {

cq_routes_t *
parse(const std::string &text)
{
    cq_error_t error = {};
    return cq_records_check_routes(text.data(), text.size(), &error);
}

std::string
lines_of(const GPtrArray *findings)
{
    std::string lines;
    for (guint i = 0; i < findings->len; i++) {
        auto *finding = (const cq_finding_t *)g_ptr_array_index(findings, i);
        lines += cq_audit_kind_name(finding->kind);
        lines += std::string(" ") + finding->place + ": " + finding->text;
        lines += "\n";
    }
    return lines;
}

// The findings on @text, compared with @old unless that is empty.
std::string
audit(const std::string &text, const std::string &old = "")
{
    cq_routes_t *routes = parse(text);
    if (routes == nullptr) {
        return "no configuration\n";
    }
    GPtrArray *findings = cq_audit_new();
    cq_audit_routes(routes, findings);
    if (!old.empty()) {
        cq_routes_t *before = parse(old);
        cq_audit_changes(before, routes, findings);
        cq_routes_free(before);
    }
    std::string lines = lines_of(findings);
    g_ptr_array_unref(findings);
    cq_routes_free(routes);
    return lines;
}

std::string
config(const std::string &routes, const std::string &rest = "")
{
    return R"({"version":7,"routes":[)" + routes +
           R"(],"services":[{"name":"n"}])" + rest + "}";
}

std::string
route(const std::string &prefix, const std::string &rest = "")
{
    return R"({"host":"h","path_prefix":")" + prefix +
           R"(","service":"n","timeout_ms":1000,"goal_ms":300)" + rest + "}";
}

TEST(Audit, FindsNothingInASoundConfiguration)
{
    EXPECT_EQ(audit(config(route("/a/") + "," + route("/a/b/"))), "");
}

TEST(Audit, NamesEveryEntryThatHostsLeaveOut)
{
    std::string bad;
    for (int i = 0; i < 40; i++) {
        bad += R"({"path_prefix":"/x/"},)";
    }
    std::string lines = audit(config(bad + route("/a/")));
    size_t count = 0;
    for (size_t at = 0;
         (at = lines.find("unreadable", at)) != std::string::npos; at++) {
        count++;
    }
    EXPECT_EQ(count, 40u);
    EXPECT_NE(lines.find("unreadable routes[39]: "), std::string::npos);
}

TEST(Audit, NamesWhatCanNeverMatch)
{
    EXPECT_NE(audit(config(route("/a/") + "," + route("/a/")))
                  .find("never_matches route h/a/: an earlier route"),
              std::string::npos);
    EXPECT_NE(audit(config(route("a/"))).find("never_matches route ha/"),
              std::string::npos);
    EXPECT_NE(audit(config(route("/a?/"))).find("never_matches route h/a?/"),
              std::string::npos);
    EXPECT_NE(
        audit(config("")).find("never_matches service n: no route names it"),
        std::string::npos);
    EXPECT_NE(audit(config(route("/a/"),
                           R"(,"tenants":[{"name":"t","api_keys":["k"]},
                         {"name":"u","api_keys":["k"]}])"))
                  .find("never_matches team u: one of its keys stands twice"),
              std::string::npos);
    EXPECT_NE(audit(config(route("/a/"),
                           R"(,"tenants":[{"name":"t","api_keys":[]}])"))
                  .find("never_matches team t: it has no key"),
              std::string::npos);
    EXPECT_NE(audit(config(R"({"host":"h","path_prefix":"/a/","split":[
                         {"service":"n","weight":1},
                         {"service":"n","weight":0}]})"))
                  .find("has a weight of 0"),
              std::string::npos);
}

TEST(Audit, NamesLimitsThatContradictEachOther)
{
    EXPECT_NE(
        audit(config(R"({"host":"h","path_prefix":"/a/","service":"n",
                               "timeout_ms":100,"goal_ms":300})"))
            .find("target time of 300 ms is above the time limit of 100"),
        std::string::npos);
    EXPECT_NE(audit(config(R"({"host":"h","path_prefix":"/a/",
                               "service":"q"})"))
                  .find("contradiction route h/a/: service q is not defined"),
              std::string::npos);
    EXPECT_NE(audit(config(route("/a/"),
                           R"(,"limits":{"max_header_bytes":9,
                               "max_body_bytes":8})"))
                  .find("contradiction limits: heads of 9 bytes"),
              std::string::npos);
    EXPECT_NE(audit(R"({"version":7,"routes":[{"host":"h",
                        "path_prefix":"/a/","service":"m",
                        "timeout_ms":9000,"goal_ms":300,"gap_aim_ms":20}],
                        "services":[{"name":"m","cold_start_s":3,
                        "engine":{"slots":1,"kv_tokens":9,"stride":46,
                                  "step_ms":1}}]})")
                  .find("below one pass of an engine of m (46 ms)"),
              std::string::npos);
    EXPECT_NE(audit(R"({"version":7,"routes":[{"host":"h",
                        "path_prefix":"/a/","service":"m"}],
                        "services":[{"name":"m","cold_start_s":3}]})")
                  .find("are cold for 3000 ms, and no rate is stated"),
              std::string::npos);
}

TEST(Audit, TellsWhatDiffersFromTheVersionInForce)
{
    std::string old =
        config(route("/a/") + "," + route("/b/"),
               R"(,"tenants":[{"name":"t","api_keys":["k1","k2"]}])");
    std::string now =
        R"({"version":8,"routes":[{"host":"h","path_prefix":"/a/",
            "service":"n","timeout_ms":500,"goal_ms":300},)" +
        route("/c/") +
        R"(],"services":[{"name":"n"}],
            "tenants":[{"name":"t","api_keys":["k2"]}]})";
    EXPECT_EQ(audit(now, old),
              "change route h/b/: removed: its requests go to a shorter "
              "prefix, or get 404\n"
              "change route h/a/: its time limit is 500 ms for 1000 ms: "
              "longer requests end earlier\n"
              "change route h/c/: added\n"
              "change team t: 1 of its keys are taken away: requests with "
              "them get 401\n");
    EXPECT_NE(audit(old, now).find("7 isn't newer than 8"), std::string::npos);
    EXPECT_EQ(audit(now, now).find("change"), std::string::npos);
}

// A route that is reported as never matching is one that no request reaches at
// a host, and each other one is reached.
TEST(Audit, AgreesWithTheRoutingOfHosts)
{
    std::mt19937 draw(5);
    const char *const parts[] = {"/", "/a/", "/a/b/", "a/", "/a?/", "/b#/"};
    const char *const hosts[] = {"h", "H", "h:80", "i"};
    for (int round = 0; round < 300; round++) {
        std::string text;
        int len = 1 + (int)(draw() % 8);
        for (int i = 0; i < len; i++) {
            text += std::string(i > 0 ? "," : "") + R"({"host":")" +
                    hosts[draw() % 4] + R"(","path_prefix":")" +
                    parts[draw() % 6] + R"(","service":"n"})";
        }
        cq_routes_t *routes = parse(config(text));
        GPtrArray *findings = cq_audit_new();
        cq_audit_routes(routes, findings);
        std::string lines = lines_of(findings);
        for (guint i = 0; i < routes->all->len; i++) {
            auto *one = (cq_route_t *)g_ptr_array_index(routes->all, i);
            const cq_route_t *found =
                cq_routes_find(routes, one->host, one->prefix);
            std::string place = std::string("never_matches route ") +
                                one->host + one->prefix + ": ";
            EXPECT_TRUE(found == one || lines.find(place) != std::string::npos)
                << text << "\n"
                << lines;
        }
        g_ptr_array_unref(findings);
        cq_routes_free(routes);
    }
}

TEST(Audit, NoTextCrashesIt)
{
    std::mt19937 draw(6);
    std::string sound =
        config(route("/a/") + "," + route("/b/"),
               R"(,"tenants":[{"name":"t","api_keys":["k1","k2"]}])");
    for (int round = 0; round < 4000; round++) {
        std::string text = sound;
        for (int i = 0; i < 1 + (int)(draw() % 4); i++) {
            text[draw() % text.size()] = (char)draw();
        }
        audit(text, sound);
    }
}

} // namespace
