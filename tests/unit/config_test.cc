// Settings, service files, log records, and the fold of the configuration.
#include <gtest/gtest.h>

#include <string>

#include "config/fold.h"
#include "config/service.h"
#include "config/settings.h"

namespace {

const char kSettings[] = "[host]\nname = \"a\"\nzone = \"z\"\n"
                         "[listen]\ncallers = \"127.0.0.1:1\"\n"
                         "operators = \"127.0.0.1:2\"\n"
                         "peers = \"127.0.0.1:3\"\n"
                         "[platform]\nlog = \"127.0.0.1:4\"\n"
                         "hosts = \"127.0.0.1:5\"\n";

const char kService[] = "[service]\nname = \"s\"\nkind = \"plain\"\n"
                        "auth = \"none\"\n[[team]]\nname = \"t\"\n";

std::string
settings_error(const std::string &text)
{
    cq_settings_t settings;
    cq_error_t error = {};
    bool valid = cq_settings_parse(text.c_str(), "f.toml", &settings, &error);
    return valid ? "" : error.text;
}

std::string
service_error(const std::string &text)
{
    cq_error_t error = {};
    cq_rules_t *rules = cq_service_parse(text.c_str(), "f.toml", &error);
    if (rules != nullptr) {
        cq_rules_unref(rules);
        return "";
    }
    return error.text;
}

std::string
replace_in(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

TEST(Settings, AcceptsAValidFile)
{
    EXPECT_EQ("", settings_error(kSettings));
}

TEST(Settings, StoreReplacesLogAndHosts)
{
    cq_settings_t settings;
    cq_error_t error = {};
    const char *good = "[host]\nname = \"h\"\nzone = \"a\"\n[listen]\n"
                       "callers = \"127.0.0.1:1\"\n"
                       "operators = \"127.0.0.1:2\"\n"
                       "peers = \"127.0.0.1:3\"\n[platform]\n"
                       "store = \"127.0.0.1:4\"\n[retries]\n"
                       "share = \"0.25\"\n";
    ASSERT_TRUE(cq_settings_parse(good, "f.toml", &settings, &error))
        << error.text;
    EXPECT_EQ(settings.retry_percent, 25);
    std::string bad = std::string(good) + "burst = 9\n";
    bad.replace(bad.find("0.25"), 4, "many");
    EXPECT_FALSE(cq_settings_parse(bad.c_str(), "f.toml", &settings, &error));
    EXPECT_STREQ(error.text, "f.toml:1: retries.share: found many; write a "
                             "number from 0 to 1 in quotes");
}

// The platform fills in the retry figures of each deployment.
TEST(Settings, RetryFiguresMayBeFractionsInQuotesOrMissing)
{
    const struct {
        const char *text;
        gint64 burst;
        gint64 percent;
    } cases[] = {
        {"burst = 102\nshare = \"0.2\"\n", 102, 20},
        {"burst = 34.7\nshare = \"0.125\"\n", 34, 12},
        {"burst = \"34.7\"\nshare = \"0.29\"\n", 34, 29},
        {"burst = \"0\"\nshare = \"0\"\n", 0, 0},
        {"burst = 0.9\nshare = \"1\"\n", 0, 100},
        {"burst = \"1000000\"\nshare = \"1.0\"\n", 1000000, 100},
        {"burst = \"1e3\"\n", 1000, 20},
        {"burst = \"\"\nshare = \"\"\n", CQ_RETRY_BURST, 20},
        {"", CQ_RETRY_BURST, 20},
    };
    for (const auto &c : cases) {
        cq_settings_t settings;
        cq_error_t error = {};
        std::string text = std::string(kSettings) + "[retries]\n" + c.text;
        ASSERT_TRUE(
            cq_settings_parse(text.c_str(), "f.toml", &settings, &error))
            << error.text;
        EXPECT_EQ(settings.retry_burst, c.burst) << c.text;
        EXPECT_EQ(settings.retry_percent, c.percent) << c.text;
    }
    for (const char *bad : {"\"many\"", "-1", "\"-0.5\"", "1000001", "nan",
                            "inf", "\" 1 x\"", "true", "[1]"}) {
        EXPECT_NE(std::string::npos,
                  settings_error(std::string(kSettings) +
                                 "[retries]\nburst = " + bad + "\n")
                      .find("retries.burst: found"))
            << bad;
    }
}

TEST(Settings, ThePaceIsFoundOnlyWhereItIsAskedFor)
{
    const struct {
        const char *text;
        gboolean finds;
    } cases[] = {
        {"", FALSE},
        {"[upstreams]\nfind_pace = false\n", FALSE},
        {"[upstreams]\nfind_pace = true\n", TRUE},
    };
    for (const auto &c : cases) {
        cq_settings_t settings;
        cq_error_t error = {};
        std::string text = std::string(kSettings) + c.text;
        ASSERT_TRUE(
            cq_settings_parse(text.c_str(), "f.toml", &settings, &error))
            << error.text;
        EXPECT_EQ(settings.find_pace, c.finds) << c.text;
    }
    EXPECT_NE(std::string::npos, settings_error(std::string(kSettings) +
                                                "[upstreams]\nfind_pace = 3\n")
                                     .find("upstreams.find_pace: found 3"));
}

TEST(Settings, ErrorsStateFileLineKeyValueAndRemedy)
{
    EXPECT_EQ("f.toml:2: host.nam: unknown key, found a; write one of: name "
              "zone seed",
              settings_error(replace_in(kSettings, "name", "nam")));
    EXPECT_EQ("f.toml:3: host.zone: found 7; write a string in double quotes",
              settings_error(replace_in(kSettings, "\"z\"", "7")));
    EXPECT_EQ(
        "f.toml:5: listen.callers: found localhost:1; write an IP "
        "number and a port, as \"127.0.0.1:8080\"",
        settings_error(replace_in(kSettings, "127.0.0.1:1", "localhost:1")));
    EXPECT_EQ(
        "f.toml:9: platform.log: missing; add log = ... to [platform]",
        settings_error(replace_in(kSettings, "log = \"127.0.0.1:4\"\n", "")));
    EXPECT_EQ(
        "f.toml:1: listen: duplicate address 127.0.0.1:1; give each "
        "listener its own port",
        settings_error(replace_in(kSettings, "127.0.0.1:3", "127.0.0.1:1")));
    EXPECT_EQ(
        "f.toml:12: drain.limit_ms: found 0; write an integer from 1 "
        "to 3600000",
        settings_error(std::string(kSettings) + "[drain]\nlimit_ms = 0\n"));
    EXPECT_EQ("f.toml:12: peers.seeds: duplicate host 127.0.0.1:9; list each "
              "peer once",
              settings_error(std::string(kSettings) +
                             "[peers]\nseeds = [\"127.0.0.1:9\", "
                             "\"127.0.0.1:9\"]\n"));
    EXPECT_EQ(
        "f.toml:1: peers.key: missing; without it listen.peers must be "
        "a 127.x address, found 10.0.0.1:3",
        settings_error(replace_in(kSettings, "127.0.0.1:3", "10.0.0.1:3")));
    EXPECT_NE(std::string::npos,
              settings_error("[host\n").find("f.toml:1: not TOML"));
}

TEST(Service, ErrorsStateFileLineKeyValueAndRemedy)
{
    EXPECT_EQ("", service_error(kService));
    EXPECT_EQ("f.toml:3: service.kind: found odd; write \"model\" or "
              "\"plain\"",
              service_error(replace_in(kService, "\"plain\"", "\"odd\"")));
    EXPECT_EQ(
        "f.toml:1: [[team]]: missing; add at least one",
        service_error(replace_in(kService, "[[team]]\nname = \"t\"\n", "")));
    EXPECT_EQ(
        "f.toml:1: team.name: duplicate t; list each team once",
        service_error(std::string(kService) + "[[team]]\nname = \"t\"\n"));
    EXPECT_EQ("f.toml:1: team.token_sha256: missing for t; add it, or write "
              "auth = \"none\"",
              service_error(replace_in(kService, "auth = \"none\"\n", "")));
    EXPECT_EQ("f.toml:1: [[model]]: missing; add at least one",
              service_error(replace_in(kService, "plain", "model")));
    EXPECT_EQ("f.toml:8: call.idempotent: missing; add idempotent = ... to "
              "[call]",
              service_error(std::string(kService) +
                            "[[call]]\nmethod = \"GET\"\npath = \"/\"\n"));
}

TEST(Service, RetriesOnlyIdempotentCalls)
{
    std::string text = std::string(kService) +
                       "[[call]]\nmethod = \"GET\"\npath = \"/seats\"\n"
                       "idempotent = true\n";
    cq_error_t error = {};
    cq_rules_t *rules = cq_service_parse(text.c_str(), "f", &error);
    ASSERT_NE(nullptr, rules);
    EXPECT_TRUE(cq_rules_may_retry(rules, "GET", "/seats/1"));
    EXPECT_FALSE(cq_rules_may_retry(rules, "POST", "/seats/1"));
    EXPECT_FALSE(cq_rules_may_retry(rules, "GET", "/holds"));
    cq_rules_unref(rules);
}

cq_config_entry_t
entry(guint64 base, const char *id, const char *body)
{
    cq_config_entry_t result = {};
    g_strlcpy(result.service, "s", sizeof result.service);
    g_strlcpy(result.id, id, sizeof result.id);
    result.base = base;
    result.version = base + 1;
    result.body = const_cast<char *>(body);
    cq_record_hash(body, result.hash);
    return result;
}

TEST(Record, IsDecodedAsItWasEncoded)
{
    cq_record_t record = {};
    record.kind = CQ_RECORD_CONFIG;
    record.config = entry(4, "x", kService);
    char *text = cq_record_encode(&record);
    cq_record_t decoded;
    cq_error_t error = {};
    ASSERT_TRUE(cq_record_decode(text, &decoded, &error)) << error.text;
    EXPECT_EQ(5u, decoded.config.version);
    EXPECT_STREQ(kService, decoded.config.body);
    cq_record_clear(&decoded);
    g_free(text);
}

TEST(Record, KeepsAllBitsOfAnIdentifier)
{
    cq_record_t record = {};
    record.kind = CQ_RECORD_CLAIM;
    record.claim.key = {G_MAXUINT64, 1};
    record.claim.request = G_MAXUINT64 - 2;
    record.claim.verdict = CQ_CLAIM_RAN;
    record.claim.status = 201;
    char *text = cq_record_encode(&record);
    cq_record_t decoded;
    cq_error_t error = {};
    ASSERT_TRUE(cq_record_decode(text, &decoded, &error)) << error.text;
    EXPECT_EQ(record.claim.key.hi, decoded.claim.key.hi);
    EXPECT_EQ(record.claim.request, decoded.claim.request);
    EXPECT_EQ(CQ_CLAIM_RAN, decoded.claim.verdict);
    cq_record_clear(&decoded);
    g_free(text);
}

TEST(Record, RejectsInvalidRecords)
{
    static const char *const bad[] = {
        "",
        "7",
        "[]",
        "{}",
        "{\"type\":\"odd\"}",
        "{\"type\":7}",
        "{\"type\":\"config\",\"service\":\"s\",\"base\":0,\"version\":1,"
        "\"hash\":\"00\",\"id\":\"i\",\"body\":\"b\"}",
        "{\"type\":\"claim\",\"key_hi\":\"zz\"}",
        "{\"type\":\"checkpoint\",\"services\":[7]}",
    };
    for (const char *text : bad) {
        cq_record_t record;
        cq_error_t error = {};
        EXPECT_FALSE(cq_record_decode(text, &record, &error)) << text;
        EXPECT_NE('\0', error.text[0]) << text;
    }
}

// Returns the text with a few bytes replaced, removed or repeated.
std::string
damage(GRand *rand, std::string text)
{
    for (int i = g_rand_int_range(rand, 1, 4); i > 0 && !text.empty(); i--) {
        size_t at = g_rand_int_range(rand, 0, text.size());
        switch (g_rand_int_range(rand, 0, 3)) {
        case 0:
            text[at] = static_cast<char>(g_rand_int_range(rand, 1, 256));
            break;
        case 1:
            text.erase(at, g_rand_int_range(rand, 1, 20));
            break;
        default:
            text.insert(at, text.substr(at, 12));
            break;
        }
    }
    return text;
}

// Damaged input is accepted or rejected with a message, without a crash.
TEST(Damaged, RecordsAndFilesAreAcceptedOrRejected)
{
    GRand *rand = g_rand_new_with_seed(11);
    cq_record_t record = {};
    record.kind = CQ_RECORD_CONFIG;
    record.config = entry(4, "x", kService);
    char *text = cq_record_encode(&record);
    for (int i = 0; i < 20000; i++) {
        cq_record_t decoded;
        cq_error_t error = {};
        if (cq_record_decode(damage(rand, text).c_str(), &decoded, &error)) {
            cq_record_clear(&decoded);
        }
        else {
            EXPECT_NE('\0', error.text[0]);
        }
        std::string file = damage(rand, kService);
        std::string settings = damage(rand, kSettings);
        service_error(file);
        settings_error(settings);
    }
    g_free(text);
    g_rand_free(rand);
}

TEST(Fold, AppliesAPublicationOnlyOnItsBase)
{
    cq_fold_t *fold = cq_fold_new(nullptr, nullptr);
    std::string second = std::string(kService) + "# second\n";
    cq_config_entry_t first = entry(0, "a", kService);
    cq_config_entry_t concurrent = entry(0, "b", second.c_str());
    EXPECT_EQ(CQ_FOLD_APPLIED, cq_fold_apply(fold, &first));
    EXPECT_EQ(CQ_FOLD_CONFLICT, cq_fold_apply(fold, &concurrent));
    EXPECT_EQ(CQ_FOLD_DUPLICATE, cq_fold_apply(fold, &first));
    EXPECT_EQ(1u, cq_fold_get(fold, "s")->version);
    cq_config_entry_t invalid = entry(1, "c", "[service]\n");
    EXPECT_EQ(CQ_FOLD_INVALID, cq_fold_apply(fold, &invalid));
    EXPECT_EQ(1u, cq_fold_get(fold, "s")->version);
    cq_fold_free(fold);
}

TEST(Fold, KeepsTheNewestVersionAndResolvesEqualOnesAlike)
{
    std::string other = std::string(kService) + "# other\n";
    cq_config_entry_t a = entry(3, "a", kService);
    cq_config_entry_t b = entry(3, "b", other.c_str());
    cq_config_entry_t old = entry(1, "c", kService);
    cq_fold_t *one = cq_fold_new(nullptr, nullptr);
    cq_fold_t *two = cq_fold_new(nullptr, nullptr);
    cq_fold_merge(one, &a);
    cq_fold_merge(one, &b);
    cq_fold_merge(two, &b);
    cq_fold_merge(two, &a);
    EXPECT_STREQ(cq_fold_get(one, "s")->hash, cq_fold_get(two, "s")->hash);
    EXPECT_FALSE(cq_fold_merge(one, &old));
    EXPECT_EQ(4u, cq_fold_get(one, "s")->version);
    cq_fold_free(one);
    cq_fold_free(two);
}

TEST(Fold, AHostThatStartsLateAppliesTheCheckpoint)
{
    cq_fold_t *fold = cq_fold_new(nullptr, nullptr);
    cq_config_entry_t first = entry(0, "a", kService);
    cq_fold_apply(fold, &first);
    cq_record_t checkpoint = cq_fold_checkpoint(fold);
    char *text = cq_record_encode(&checkpoint);
    cq_record_t read;
    cq_error_t error = {};
    ASSERT_TRUE(cq_record_decode(text, &read, &error)) << error.text;
    cq_fold_t *late = cq_fold_new(nullptr, nullptr);
    EXPECT_TRUE(cq_fold_merge(
        late, &g_array_index(read.checkpoint, cq_config_entry_t, 0)));
    EXPECT_EQ(1u, cq_fold_get(late, "s")->version);
    cq_record_clear(&read);
    cq_record_clear(&checkpoint);
    g_free(text);
    cq_fold_free(late);
    cq_fold_free(fold);
}

} // namespace
