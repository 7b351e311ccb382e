/// @file document_test.cpp
/// Documents that other processes wrote never end this process, whatever they contain.
#include "turmericspar/base/document.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

namespace {

using namespace turmericspar;
using nlohmann::json;

std::string nested(const std::string &open, const std::string &innermost, const std::string &close, int depth)
{
    std::string text;
    for (int i = 0; i < depth; ++i) {
        text += open;
    }
    text += innermost;
    for (int i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

TEST(document, usual_documents_are_parsed)
{
    EXPECT_EQ(parseDocument(R"({"a":[1,{"b":"c"}],"d":null})"), json::parse(R"({"a":[1,{"b":"c"}],"d":null})"));
    EXPECT_TRUE(parseDocument("{").is_discarded());
    EXPECT_TRUE(parseDocument("").is_discarded());
    EXPECT_TRUE(parseDocument("{}{}").is_discarded());
}

// Guards against processes that end by themselves: copies of a document recurse, and exhausted the stack.
TEST(document, deep_documents_are_refused)
{
    const int depthMax = document_limits{}.depthMax;
    EXPECT_FALSE(parseDocument(nested("[", "1", "]", depthMax)).is_discarded());
    EXPECT_TRUE(parseDocument(nested("[", "1", "]", depthMax + 2)).is_discarded());
    for (const int depth : {1000, 200'000}) {
        EXPECT_TRUE(parseDocument(nested("[", "", "]", depth)).is_discarded()) << depth;
        EXPECT_TRUE(parseDocument(nested(R"({"a":)", "1", "}", depth)).is_discarded()) << depth;
        EXPECT_TRUE(parseDocument(nested("[", "", "", depth)).is_discarded()) << depth;
        EXPECT_TRUE(parseDocument(R"({"epoch":)" + nested("[", "", "]", depth) + R"(,"version":1})").is_discarded()) << depth;
    }
}

TEST(document, large_documents_are_refused)
{
    EXPECT_TRUE(parseDocument("[1,2,3]", {6, 8}).is_discarded());
    EXPECT_FALSE(parseDocument("[1,2,3]", {7, 8}).is_discarded());
}

TEST(document, a_flag_of_another_type_has_its_fallback)
{
    const auto document = parseDocument(R"({"text":"yes","number":1,"yes":true,"no":false})");
    EXPECT_FALSE(flagOr(document, "text", false));
    EXPECT_TRUE(flagOr(document, "number", true));
    EXPECT_TRUE(flagOr(document, "missing", true));
    EXPECT_TRUE(flagOr(document, "yes", false));
    EXPECT_FALSE(flagOr(document, "no", true));
}

RC_GTEST_PROP(document, any_bytes_give_a_document_or_none, (const std::string &bytes))
{
    const auto document = parseDocument(bytes);
    const auto again = json::parse(bytes, nullptr, false);
    RC_ASSERT(document.is_discarded() == again.is_discarded());
}

} // namespace
