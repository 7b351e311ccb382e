/// @file settings_test.cpp
/// The settings reader, endpoints and shared keys.
#include "turmericspar/base/log.h"
#include "turmericspar/base/secret.h"
#include "turmericspar/base/settings_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

TEST(settings_reader, reports_every_error_with_its_line)
{
    std::vector<settings_error> errors;
    settings_reader root(YAML::Load("name: a\ncount: many\nlisten:\n  port: 99999999\n  unknown: 1\naddress: localhost:1\n"), errors);
    root.child("name").requiredText();
    root.child("count").integer(1, 0, 10);
    auto listen = root.child("listen");
    listen.child("port").integer(1, 1, 65535);
    listen.rejectUnknownKeys();
    root.child("address").requiredAddress();
    root.child("missing").requiredText();
    root.rejectUnknownKeys();
    ASSERT_EQ(errors.size(), 5U);
    EXPECT_EQ(errors[0].text(), "line 2: count: expected a whole number from 0 to 10");
    EXPECT_EQ(errors[1].line, 4);
    EXPECT_EQ(errors[2].path, "listen.unknown");
    EXPECT_EQ(errors[3].path, "address");
    EXPECT_EQ(errors[4].path, "missing");
}

RC_GTEST_PROP(endpoint, parse_inverts_text, (std::uint8_t a, std::uint8_t b, std::uint16_t port))
{
    const endpoint address{std::to_string(a) + ".0.0." + std::to_string(b), port};
    const auto parsed = endpoint::parse(address.text());
    RC_ASSERT(static_cast<bool>(parsed));
    RC_ASSERT(*parsed == address);
}

TEST(endpoint, rejects_host_names_and_malformed_text)
{
    for (const auto *text : {"", "localhost:80", "1.2.3.4", "1.2.3.4:", "1.2.3.4:70000", "1.2.3:80", "1.2.3.4:80x"}) {
        EXPECT_FALSE(endpoint::parse(text)) << text;
    }
    EXPECT_TRUE(endpoint::parse("[::1]:80"));
}

TEST(shared_key, derived_keys_differ_by_label_and_material)
{
    const shared_key key(std::string(32, 'k'));
    EXPECT_NE(key.derive("a"), key.derive("b"));
    EXPECT_NE(key.operatorToken(), shared_key(std::string(32, 'l')).operatorToken());
    EXPECT_EQ(key.operatorToken().size(), 64U);
}

} // namespace
