// JSON texts from other processes: nesting, length, and what isn't JSON.
#include <gtest/gtest.h>

#include <string>

#include "base/limits.h"
#include "config/json.h"
#include "config/record.h"

namespace {

// The kind of the error of a text, or CQ_ERROR_NONE if it was parsed.
cq_error_kind_t
error_of(const std::string &text)
{
    JsonParser *parser = json_parser_new();
    cq_error_t error = {};
    JsonNode *root = cq_json_parse(parser, text.data(), text.size(), &error);
    EXPECT_EQ(root == nullptr, error.kind != CQ_ERROR_NONE) << error.text;
    EXPECT_EQ(root == nullptr, error.text[0] != '\0');
    g_object_unref(parser);
    return error.kind;
}

std::string
repeat(const std::string &text, size_t times)
{
    std::string all;
    for (size_t i = 0; i < times; i++) {
        all += text;
    }
    return all;
}

std::string
nested(size_t depth)
{
    return repeat("[", depth) + repeat("]", depth);
}

TEST(Json, NestingIsBounded)
{
    EXPECT_EQ(error_of(nested(1)), CQ_ERROR_NONE);
    EXPECT_EQ(error_of(nested(CQ_JSON_DEPTH_MAX)), CQ_ERROR_NONE);
    EXPECT_EQ(error_of(nested(CQ_JSON_DEPTH_MAX + 1)), CQ_ERROR_LIMIT);
    EXPECT_EQ(error_of(repeat("[{\"a\":", CQ_JSON_DEPTH_MAX)), CQ_ERROR_LIMIT);
    EXPECT_EQ(error_of(repeat("[", 100000)), CQ_ERROR_LIMIT);
    EXPECT_EQ(error_of(repeat("{\"a\":", 100000)), CQ_ERROR_LIMIT);
    EXPECT_EQ(error_of("{\"a\":1,\"b\":" + nested(1000000) + "}"),
              CQ_ERROR_LIMIT);
}

TEST(Json, BracketsSideBySideAreNotNested)
{
    EXPECT_EQ(error_of("[" + repeat("[],{\"a\":[]},", 100000) + "[]]"),
              CQ_ERROR_NONE);
}

TEST(Json, BracketsInStringsDoNotCount)
{
    std::string many = repeat("[", 100000);
    EXPECT_EQ(error_of("{\"a\":\"" + many + "\"}"), CQ_ERROR_NONE);
    EXPECT_EQ(error_of("{\"a\":\"\\\"" + many + "\\\\\"}"), CQ_ERROR_NONE);
    EXPECT_EQ(error_of("{\"" + many + "\":1}"), CQ_ERROR_NONE);
    EXPECT_EQ(error_of("{\"a\":\"\\\\\",\"b\":" + many), CQ_ERROR_LIMIT);
    EXPECT_EQ(error_of("{\"a\":\"" + many), CQ_ERROR_SYNTAX);
    EXPECT_EQ(error_of("{\"a\":\"" + many + "\\"), CQ_ERROR_SYNTAX);
}

// The parser knows comments and other quotes, in which a quote or bracket
// could hide nesting from the check.
TEST(Json, WhatIsNotJsonDoesNotHideNesting)
{
    std::string many = repeat("[", 100000);
    for (const std::string &start :
         {std::string("/*\"*/"), std::string("#\"\n"), std::string("//\"\n"),
          std::string("['\"',"), std::string("[`\"`,"),
          std::string("\xef\xbb\xbf"), std::string("var a = "),
          std::string(1, '\0'), std::string("[\\\"")}) {
        EXPECT_NE(error_of(start + many), CQ_ERROR_NONE) << start;
    }
}

TEST(Json, InvalidTextsGiveAReason)
{
    for (const char *text : {"", " ", "{", "{\"a\":}", "\xff\xfe", "{'a':1}",
                             "nul", "[1,]x", "{\"a\":1}}}"}) {
        EXPECT_EQ(error_of(text), CQ_ERROR_SYNTAX) << text;
    }
    JsonParser *parser = json_parser_new();
    cq_error_t none = {};
    EXPECT_EQ(cq_json_parse_object(parser, nullptr, 0, &none), nullptr);
    EXPECT_EQ(none.kind, CQ_ERROR_SYNTAX);
    cq_error_t error = {};
    EXPECT_EQ(cq_json_parse_object(parser, "[1]", 3, &error), nullptr);
    EXPECT_EQ(error.kind, CQ_ERROR_SYNTAX);
    g_object_unref(parser);
}

TEST(Json, ARecordOfTheLogIsBounded)
{
    cq_record_t record;
    cq_error_t error = {};
    EXPECT_FALSE(
        cq_record_decode(repeat("[", 100000).c_str(), &record, &error));
    EXPECT_EQ(error.kind, CQ_ERROR_LIMIT);
}

TEST(Json, MembersOfAnotherTypeCountAsMissing)
{
    std::string text = "{\"t\":\"x\",\"n\":5,\"a\":[{},7]}";
    JsonParser *parser = json_parser_new();
    cq_error_t error = {};
    JsonObject *object =
        cq_json_parse_object(parser, text.data(), text.size(), &error);
    ASSERT_NE(object, nullptr) << error.text;
    EXPECT_STREQ(cq_json_text(object, "t"), "x");
    EXPECT_STREQ(cq_json_text(object, "n"), "");
    EXPECT_STREQ(cq_json_text(object, "a"), "");
    EXPECT_STREQ(cq_json_text(object, "none"), "");
    EXPECT_EQ(cq_json_array(object, "t"), nullptr);
    EXPECT_EQ(cq_json_array(object, "none"), nullptr);
    JsonArray *array = cq_json_array(object, "a");
    ASSERT_NE(array, nullptr);
    EXPECT_NE(cq_json_element(array, 0), nullptr);
    EXPECT_EQ(cq_json_element(array, 1), nullptr);
    g_object_unref(parser);
}

} // namespace
