/// @file http_unbounded_input_test.cpp
/// A faulty server may send bytes without end in any part of a response. The reader must fail after a bounded number of bytes and with
/// bounded memory.
#include "turmericspar/base/http.h"

#include <functional>
#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

constexpr http_limits limits{16 * 1024, 256 * 1024, nullptr};
/// Far above any limit: a reader that consumes this much has no bound.
constexpr std::size_t maxInputBytes = 8 * 1024 * 1024;

/// Feeds a prefix and then the same input repeatedly, until the reader fails.
/// @return the number of bytes consumed
std::size_t bytesUntilFailure(const std::string &prefix, const std::string &repeated)
{
    http_reader reader(http_reader::role::client, limits);
    std::size_t read = reader.feed(prefix.data(), prefix.size());
    while (reader.currentState() == http_reader::state::reading && read < maxInputBytes) {
        for (std::size_t used = 0; used < repeated.size() && reader.currentState() == http_reader::state::reading;) {
            const auto taken = reader.feed(repeated.data() + used, repeated.size() - used);
            used += taken;
            read += taken;
        }
    }
    EXPECT_EQ(reader.currentState(), http_reader::state::failed);
    EXPECT_LE(reader.response().body.size(), limits.bodyBytes);
    return read;
}

constexpr std::size_t maxHeaderInput = 2 * limits.headerBytes;

TEST(http_unbounded_input, status_line_or_header_line)
{
    EXPECT_LE(bytesUntilFailure("", "x"), maxHeaderInput);
    EXPECT_LE(bytesUntilFailure("HTTP/1.1 200 OK\r\nA: ", "x"), maxHeaderInput);
}

TEST(http_unbounded_input, header_fields)
{
    EXPECT_LE(bytesUntilFailure("HTTP/1.1 200 OK\r\n", "A: b\r\n"), maxHeaderInput);
}

TEST(http_unbounded_input, interim_responses)
{
    EXPECT_LE(bytesUntilFailure("", "HTTP/1.1 100 Continue\r\n\r\n"), maxHeaderInput);
}

TEST(http_unbounded_input, chunk_extension)
{
    EXPECT_LE(bytesUntilFailure("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", "x"), maxHeaderInput);
}

TEST(http_unbounded_input, leading_zeros_of_a_chunk_size)
{
    EXPECT_LE(bytesUntilFailure("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"), maxHeaderInput);
}

TEST(http_unbounded_input, trailer)
{
    // The response is complete with its last chunk. Trailer fields count as bytes after a response, which make the connection unusable.
    http_reader reader(http_reader::role::client, limits);
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\nA: b\r\n";
    std::size_t used = 0;
    while (used < text.size() && reader.currentState() == http_reader::state::reading) {
        used += reader.feed(text.data() + used, text.size() - used);
    }
    EXPECT_EQ(reader.currentState(), http_reader::state::complete);
    EXPECT_LT(used, text.size()) << "the remaining bytes prevent the reuse of the connection";
}

TEST(http_unbounded_input, body)
{
    EXPECT_LE(bytesUntilFailure("HTTP/1.1 200 OK\r\n\r\n", "x"), limits.bodyBytes + maxHeaderInput);
    EXPECT_LE(bytesUntilFailure("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"), 2 * limits.bodyBytes + maxHeaderInput);
}

TEST(http_unbounded_input, accepts_valid_response_in_one_byte_chunks)
{
    http_reader reader(http_reader::role::client, limits);
    std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t chunks = 100'000;
    for (std::size_t i = 0; i < chunks; ++i) {
        text += "1\r\nx\r\n";
    }
    text += "0\r\nTrailer: t\r\n\r\n";
    std::size_t used = 0;
    while (used < text.size() && reader.currentState() == http_reader::state::reading) {
        used += reader.feed(text.data() + used, text.size() - used);
    }
    EXPECT_EQ(reader.currentState(), http_reader::state::complete);
    EXPECT_EQ(reader.response().body.size(), chunks);
}

/// Guards a host with little memory against several unbounded responses at the same time.
TEST(http_unbounded_input, concurrent_bodies_stay_within_shared_budget)
{
    byte_budget budget{400 * 1024, 0};
    http_limits shared = limits;
    shared.sharedBudget = &budget;
    {
        std::vector<std::unique_ptr<http_reader>> readers;
        const std::string header = "HTTP/1.1 200 OK\r\n\r\n";
        const std::string data(1024, 'x');
        for (int i = 0; i < 8; ++i) {
            readers.push_back(std::make_unique<http_reader>(http_reader::role::client, shared));
            readers.back()->feed(header.data(), header.size());
        }
        int failed = 0;
        for (int turn = 0; turn < 200; ++turn) {
            for (const auto &reader : readers) {
                reader->feed(data.data(), data.size());
                EXPECT_LE(budget.used, budget.limit);
            }
        }
        for (const auto &reader : readers) {
            failed += reader->currentState() == http_reader::state::failed ? 1 : 0;
        }
        EXPECT_GE(failed, 6);
        EXPECT_LT(failed, 8) << "a body within the budget continues";
    }
    EXPECT_EQ(budget.used, 0U) << "destroyed readers release their memory to the budget";
}

// Guards a host with little memory: strings that grow by themselves take up to twice what they hold.
TEST(http_unbounded_input, concurrent_bodies_allocate_no_more_than_the_shared_budget)
{
    byte_budget budget{400 * 1024, 0};
    http_limits shared = limits;
    shared.sharedBudget = &budget;
    const std::string header = "HTTP/1.1 200 OK\r\n\r\n";
    const std::string data(1000, 'x');
    std::vector<std::unique_ptr<http_reader>> readers;
    for (int i = 0; i < 7; ++i) {
        readers.push_back(std::make_unique<http_reader>(http_reader::role::client, shared));
        readers.back()->feed(header.data(), header.size());
    }
    std::size_t received = 0;
    for (int turn = 0; turn < 200; ++turn) {
        std::size_t allocated = 0;
        std::size_t held = 0;
        for (const auto &reader : readers) {
            reader->feed(data.data(), data.size());
            allocated += reader->response().body.capacity();
            held += reader->response().body.size();
        }
        received = std::max(received, held);
        // An empty string has some room without allocating it.
        ASSERT_LE(allocated, budget.limit + readers.size() * std::string().capacity()) << "turn " << turn;
    }
    EXPECT_GE(received, budget.limit / 2) << "the budget is made use of";
}

} // namespace
