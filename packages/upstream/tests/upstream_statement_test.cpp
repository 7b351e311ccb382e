/// @file upstream_statement_test.cpp
/// Tests that the limit and the departure that an upstream states in an answer are read, and that malformed values are reported.
#include "turmericspar/upstream/upstream_statement.h"

#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

upstream_statement read(const std::string &name, const std::string &value)
{
    http_fields fields;
    fields.add(name, value);
    return readStatement(fields, "Limit", "Leaving");
}

TEST(upstream_statement, an_answer_without_the_fields_states_nothing)
{
    const auto statement = read("Other", "1");
    EXPECT_FALSE(statement.rateLimit);
    EXPECT_FALSE(statement.leaving);
    EXPECT_TRUE(statement.malformedLimit.empty());
}

TEST(upstream_statement, the_limit_is_a_decimal_number)
{
    EXPECT_EQ(read("limit", "8.5").rateLimit, 8.5);
    EXPECT_EQ(read("Limit", "0").rateLimit, 0);
    EXPECT_EQ(read("Limit", "120").rateLimit, 120);
}

TEST(upstream_statement, malformed_limits_are_reported)
{
    for (const auto *value : {"", "many", "-1", "1x", "nan", "inf", "1e999", " 5"}) {
        const auto statement = read("Limit", value);
        EXPECT_FALSE(statement.rateLimit) << value;
        EXPECT_EQ(statement.malformedLimit, value);
    }
}

TEST(upstream_statement, only_the_value_1_announces_the_departure)
{
    EXPECT_TRUE(read("leaving", "1").leaving);
    EXPECT_FALSE(read("Leaving", "0").leaving);
    EXPECT_FALSE(read("Leaving", "").leaving);
}

TEST(upstream_statement, an_interface_without_the_fields_reads_none)
{
    http_fields fields;
    fields.add("Limit", "1");
    fields.add("Leaving", "1");
    const auto statement = readStatement(fields, "", "");
    EXPECT_FALSE(statement.rateLimit);
    EXPECT_FALSE(statement.leaving);
}

} // namespace
