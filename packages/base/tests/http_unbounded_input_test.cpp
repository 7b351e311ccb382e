/// @file endless_test.cpp
/// Servers in trouble that send bytes without end: the reader gives up after a bound, and its memory stays flat.
#include "turmericspar/base/http.h"

#include <functional>
#include <gtest/gtest.h>

namespace {

using namespace turmericspar;

constexpr http_limits limits{16 * 1024, 256 * 1024, nullptr};
/// Far more than any bound: a reader that has read so much reads without end.
constexpr std::size_t patienceBytes = 8 * 1024 * 1024;

/// Feeds a beginning and then the same piece again and again, until the reader gives up.
/// @return how many bytes it took
std::size_t bytesUntilRefused(const std::string &beginning, const std::string &piece)
{
    http_reader reader(http_reader::role::client, limits);
    std::size_t read = reader.feed(beginning.data(), beginning.size());
    while (reader.currentState() == http_reader::state::reading && read < patienceBytes) {
        for (std::size_t used = 0; used < piece.size() && reader.currentState() == http_reader::state::reading;) {
            const auto taken = reader.feed(piece.data() + used, piece.size() - used);
            used += taken;
            read += taken;
        }
    }
    EXPECT_EQ(reader.currentState(), http_reader::state::failed);
    EXPECT_LE(reader.response().body.size(), limits.bodyBytes);
    return read;
}

constexpr std::size_t headMost = 2 * limits.headerBytes;

TEST(endless, a_status_line_or_a_header_line)
{
    EXPECT_LE(bytesUntilRefused("", "x"), headMost);
    EXPECT_LE(bytesUntilRefused("HTTP/1.1 200 OK\r\nA: ", "x"), headMost);
}

TEST(endless, header_fields)
{
    EXPECT_LE(bytesUntilRefused("HTTP/1.1 200 OK\r\n", "A: b\r\n"), headMost);
}

TEST(endless, interim_answers)
{
    EXPECT_LE(bytesUntilRefused("", "HTTP/1.1 100 Continue\r\n\r\n"), headMost);
}

TEST(endless, a_chunk_extension)
{
    EXPECT_LE(bytesUntilRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", "x"), headMost);
}

TEST(endless, zeros_before_the_size_of_a_chunk)
{
    EXPECT_LE(bytesUntilRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"), headMost);
}

TEST(endless, a_trailer)
{
    // The answer is whole with its last chunk; fields behind it count as bytes behind an answer, which end the connection.
    http_reader reader(http_reader::role::client, limits);
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\nA: b\r\n";
    std::size_t used = 0;
    while (used < text.size() && reader.currentState() == http_reader::state::reading) {
        used += reader.feed(text.data() + used, text.size() - used);
    }
    EXPECT_EQ(reader.currentState(), http_reader::state::complete);
    EXPECT_LT(used, text.size()) << "what is left keeps the connection from carrying another request";
}

TEST(endless, a_body)
{
    EXPECT_LE(bytesUntilRefused("HTTP/1.1 200 OK\r\n\r\n", "x"), limits.bodyBytes + headMost);
    EXPECT_LE(bytesUntilRefused("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n"), 2 * limits.bodyBytes + headMost);
}

TEST(endless, an_ordinary_answer_in_the_smallest_chunks_is_taken)
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

/// A host with little memory, and several answers without end at once.
TEST(endless, several_bodies_at_once_hold_no_more_than_their_share_together)
{
    byte_budget sharedBudget{400 * 1024, 0};
    http_limits shared = limits;
    shared.sharedBudget = &sharedBudget;
    {
        std::vector<std::unique_ptr<http_reader>> readers;
        const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
        const std::string piece(1024, 'x');
        for (int i = 0; i < 8; ++i) {
            readers.push_back(std::make_unique<http_reader>(http_reader::role::client, shared));
            readers.back()->feed(head.data(), head.size());
        }
        int failed = 0;
        for (int turn = 0; turn < 200; ++turn) {
            for (const auto &reader : readers) {
                reader->feed(piece.data(), piece.size());
                EXPECT_LE(sharedBudget.used, sharedBudget.most);
            }
        }
        for (const auto &reader : readers) {
            failed += reader->currentState() == http_reader::state::failed ? 1 : 0;
        }
        EXPECT_GE(failed, 6);
        EXPECT_LT(failed, 8) << "one that fits goes on";
    }
    EXPECT_EQ(sharedBudget.used, 0U) << "what a reader held is given back with it";
}

} // namespace
