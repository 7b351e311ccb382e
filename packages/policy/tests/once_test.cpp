/// @file once_test.cpp
/// At-most-once execution: the table by itself, and every interleaving of events in a small deployment.
#include "turmericspar/policy/once.h"

#include <functional>
#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck/gtest.h>
#include <set>

namespace {

using namespace turmericspar;

constexpr once_tunables tuning;

/// @return a key that contains a time (UUID version 7).
std::string keyAt(millis time)
{
    std::array<char, 40> text{};
    const auto count = static_cast<unsigned long long>(time.count);
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7abc-8def-0123456789ab", count >> 16U, count & 0xffffU);
    return text.data();
}

/// @return the readings of both clocks of a host whose wall clock is ahead of its monotonic clock by an offset.
clock_reading at(millis now, millis ahead = {0})
{
    return {now, now + ahead};
}

TEST(key_time, reads_only_uuids_of_version_7)
{
    ASSERT_TRUE(keyTime(keyAt({1'700'000'000'123})));
    EXPECT_EQ(keyTime(keyAt({1'700'000'000'123}))->count, 1'700'000'000'123);
    EXPECT_FALSE(keyTime("booking-1"));
    EXPECT_FALSE(keyTime("018bcfe5-687b-4abc-8def-0123456789ab"));
    EXPECT_FALSE(keyTime("018bcfe5-687b-7abc-8def-0123456789zz"));
}

TEST(once_table, runs_a_declared_first_attempt_once)
{
    once_table table(tuning, {0});
    const auto key = keyAt({10'000});
    EXPECT_EQ(table.begin(key, 0, at({10'000})), key_admission::run);
    EXPECT_EQ(table.begin(key, 0, at({10'001})), key_admission::running);
    table.finish(key, "answer", {10'002});
    EXPECT_EQ(table.begin(key, 0, at({10'003})), key_admission::finished);
    EXPECT_EQ(table.answer(key), "answer");
}

TEST(once_table, a_late_first_attempt_finds_its_key_blocked)
{
    once_table table(tuning, {0});
    const auto key = keyAt({10'000});
    EXPECT_EQ(table.inquire(key, 5, at({10'000})), key_finding::clear);
    EXPECT_EQ(table.begin(key, 0, at({10'001})), key_admission::blocked);
    EXPECT_EQ(table.begin(key, 6, at({10'001})), key_admission::blocked);
    EXPECT_EQ(table.begin(key, 5, at({10'002})), key_admission::run);
}

TEST(once_table, a_permit_expires_and_a_later_inquiry_takes_over)
{
    once_table table(tuning, {0});
    const auto key = keyAt({10'000});
    EXPECT_EQ(table.inquire(key, 5, at({10'000})), key_finding::clear);
    EXPECT_EQ(table.inquire(key, 6, at({10'100})), key_finding::contested);
    const millis expired = millis{10'000} + tuning.permitLifetime;
    EXPECT_EQ(table.inquire(key, 6, at(expired)), key_finding::clear);
    EXPECT_EQ(table.begin(key, 5, at(expired)), key_admission::blocked);
}

TEST(once_table, a_restarted_node_does_not_claim_to_remember)
{
    once_table table(tuning, {20'000});
    EXPECT_EQ(table.inquire(keyAt({10'000}), 5, at({21'000})), key_finding::no_memory);
    EXPECT_EQ(table.begin(keyAt({15'000}), 0, at({21'000})), key_admission::no_memory);
    EXPECT_EQ(table.inquire("no-time", 5, at({21'000})), key_finding::no_memory);
    EXPECT_EQ(table.inquire(keyAt({30'000}), 5, at({30'000})), key_finding::clear);
}

TEST(once_table, evicted_keys_are_reported_as_no_memory)
{
    once_tunables small;
    small.bytesMax = 10'000;
    once_table table(small, {0});
    const auto first = keyAt({10'000});
    table.begin(first, 0, at({10'000}));
    table.finish(first, std::string(500, 'a'), {10'000});
    for (int i = 1; i < 100; ++i) {
        const millis now{10'000.0 + i * 100};
        table.begin(keyAt(now), 0, at(now));
        table.finish(keyAt(now), std::string(500, 'a'), now);
    }
    EXPECT_LE(table.bytes(), small.bytesMax);
    EXPECT_EQ(table.inquire(first, 5, at({20'000})), key_finding::no_memory);
}

TEST(once_table, a_step_of_the_wall_clock_evicts_no_key)
{
    for (const millis step : {millis{-3'600'000}, millis{-30'000}, millis{30'000}, millis{3'600'000}}) {
        once_table table(tuning, {0});
        const auto key = keyAt({10'000});
        EXPECT_EQ(table.begin(key, 0, at({10'000})), key_admission::run);
        table.finish(key, "answer", {10'001});
        EXPECT_EQ(table.inquire(key, 5, at({20'000}, step)), key_finding::finished) << step.count;
        EXPECT_EQ(table.begin(key, 0, at({20'001}, step)), key_admission::finished) << step.count;
    }
}

TEST(once_table, a_forward_step_of_the_wall_clock_does_not_extend_the_memory_to_before_the_start)
{
    // The clocks of the caller and of this host were right when the key was created, before this node started
    once_table table(tuning, {20'000});
    EXPECT_EQ(table.inquire(keyAt({15'000}), 5, at({25'000}, {300'000})), key_finding::no_memory);
    EXPECT_EQ(table.begin("no-time", 0, at({25'000}, {300'000})), key_admission::no_memory);
}

RC_GTEST_PROP(once_table, bytes_stay_bounded, (const std::vector<std::pair<std::string, std::uint8_t>> &steps))
{
    once_tunables small;
    small.bytesMax = 2000;
    once_table table(small, {0});
    millis now{100'000};
    for (const auto &[key, step] : steps) {
        now += millis{1};
        if (step % 3 == 0) {
            table.begin(key, 0, at(now));
        } else if (step % 3 == 1) {
            table.finish(key, std::string(step, 'x'), now);
        } else {
            table.inquire(key, step, at(now));
        }
        RC_ASSERT(table.bytes() <= small.bytesMax + 1000);
    }
}

/// A model of a few serving nodes, one key, a declared first attempt, and resends that start inquiries. Messages may be lost, repeated or
/// late; a node may restart and lose its memory; more time may pass than the lifetime of a permit.
class small_deployment
{
public:
    struct options
    {
        int nodes = 2;
        int resends = 2;
        int restarts = 1;
        bool ignoreNoMemory = false; ///< a deliberately broken variant: an answer of no_memory counts as clear
    };

    struct run_message
    {
        int to = 0;
        std::uint64_t incarnation = 0;
        inquiry_id permit = 0;
        auto operator<=>(const run_message &) const = default;
    };
    struct ask_message
    {
        int to = 0;
        inquiry_id inquiry = 0;
        auto operator<=>(const ask_message &) const = default;
    };

    explicit small_deployment(options chosen) : m_options(chosen) { }

    /// Visits every reachable sequence of events up to a depth.
    /// @return the maximum number of runs of the key in any of them
    int explore(int depth)
    {
        world start;
        for (int i = 0; i < m_options.nodes; ++i) {
            start.tables.emplace_back(tuning, millis{0});
        }
        start.incarnations.assign(static_cast<std::size_t>(m_options.nodes), 1);
        start.resendsLeft = m_options.resends;
        start.restartsLeft = m_options.restarts;
        visit(start, depth);
        return m_maxRuns;
    }

    std::size_t states() const { return m_states; }

private:
    struct world
    {
        std::vector<once_table> tables;
        std::vector<std::uint64_t> incarnations;
        std::vector<run_message> runs; ///< in flight
        std::vector<ask_message> asks; ///< in flight
        std::map<inquiry_id, std::map<int, key_finding>> answers;
        std::set<inquiry_id> decided;
        bool firstSent = false;
        int resendsLeft = 0;
        int restartsLeft = 0;
        int runCount = 0;
        millis now{10'000};
    };

    static std::string key() { return keyAt({10'000}); }

    void visit(const world &current, int depth)
    {
        ++m_states;
        m_maxRuns = std::max(m_maxRuns, current.runCount);
        if (depth == 0 || m_maxRuns > 1) {
            return;
        }
        const auto step = [&](const std::function<void(world &)> &change) {
            world next = current;
            change(next);
            visit(next, depth - 1);
        };

        // The caller sends its first attempt, to any node
        if (!current.firstSent) {
            for (int node = 0; node < m_options.nodes; ++node) {
                step([&](world &next) {
                    next.firstSent = true;
                    next.runs.push_back({node, next.incarnations[static_cast<std::size_t>(node)], 0});
                });
            }
        }
        // The caller resends: an inquiry asks every node
        if (current.firstSent && current.resendsLeft > 0) {
            step([&](world &next) {
                const auto inquiry = static_cast<inquiry_id>(next.resendsLeft--);
                for (int node = 0; node < m_options.nodes; ++node) {
                    next.asks.push_back({node, inquiry});
                }
            });
        }
        // A message arrives; it may stay in flight to arrive once more
        for (std::size_t i = 0; i < current.runs.size(); ++i) {
            if (i > 0 && current.runs[i] == current.runs[i - 1]) {
                continue;
            }
            step([&](world &next) { arriveRun(next, i, false); });
            step([&](world &next) { arriveRun(next, i, true); });
        }
        for (std::size_t i = 0; i < current.asks.size(); ++i) {
            for (int chosen = 0; chosen < m_options.nodes; ++chosen) {
                step([&](world &next) { arriveAsk(next, i, chosen); });
            }
        }
        // A run ends
        for (int node = 0; node < m_options.nodes; ++node) {
            auto copy = current.tables[static_cast<std::size_t>(node)];
            if (copy.begin(key(), 0, at(current.now)) == key_admission::running) {
                step([&](world &next) { next.tables[static_cast<std::size_t>(node)].finish(key(), "done", next.now); });
            }
        }
        // A node restarts and loses its memory
        if (current.restartsLeft > 0) {
            for (int node = 0; node < m_options.nodes; ++node) {
                step([&](world &next) {
                    --next.restartsLeft;
                    next.now += millis{1};
                    next.tables[static_cast<std::size_t>(node)] = once_table(tuning, next.now);
                    ++next.incarnations[static_cast<std::size_t>(node)];
                });
            }
        }
        // Time passes
        if (current.now.count < 20'000) {
            step([&](world &next) { next.now += tuning.permitLifetime; });
        }
    }

    void arriveRun(world &next, std::size_t index, bool again)
    {
        const auto message = next.runs[index];
        if (!again) {
            next.runs.erase(next.runs.begin() + static_cast<std::ptrdiff_t>(index));
        }
        const auto node = static_cast<std::size_t>(message.to);
        // The link refuses messages to an earlier incarnation.
        if (message.incarnation != next.incarnations[node]) {
            return;
        }
        if (next.tables[node].begin(key(), message.permit, at(next.now)) == key_admission::run) {
            ++next.runCount;
        }
    }

    /// @param chosen the node to which the entry node sends the call if this answer completes the inquiry with a permit
    void arriveAsk(world &next, std::size_t index, int chosen)
    {
        const auto message = next.asks[index];
        next.asks.erase(next.asks.begin() + static_cast<std::ptrdiff_t>(index));
        auto finding = next.tables[static_cast<std::size_t>(message.to)].inquire(key(), message.inquiry, at(next.now));
        if (m_options.ignoreNoMemory && finding == key_finding::no_memory) {
            finding = key_finding::clear;
        }
        auto &answers = next.answers[message.inquiry];
        answers[message.to] = finding;

        once_inquiry inquiry({}, false);
        std::vector<node_id> all;
        for (int node = 0; node < m_options.nodes; ++node) {
            all.push_back(std::to_string(node));
        }
        for (const auto &[node, found] : answers) {
            inquiry.recordAnswer(std::to_string(node), found, all);
        }
        if (inquiry.verdict() == inquiry_verdict::run && next.decided.insert(message.inquiry).second) {
            next.runs.push_back({chosen, next.incarnations[static_cast<std::size_t>(chosen)], message.inquiry});
        }
    }

    options m_options;
    int m_maxRuns = 0;
    std::size_t m_states = 0;
};

TEST(at_most_once, holds_in_every_interleaving_of_two_nodes)
{
    small_deployment deployment({2, 1, 1, false});
    EXPECT_LE(deployment.explore(8), 1);
    std::cout << "states=" << deployment.states() << '\n';
}

TEST(at_most_once, holds_when_two_resends_race)
{
    small_deployment deployment({2, 2, 0, false});
    EXPECT_LE(deployment.explore(9), 1);
    std::cout << "states=" << deployment.states() << '\n';
}

TEST(at_most_once, holds_on_three_nodes)
{
    small_deployment deployment({3, 1, 1, false});
    EXPECT_LE(deployment.explore(8), 1);
    std::cout << "states=" << deployment.states() << '\n';
}

TEST(at_most_once, the_exploration_finds_a_broken_variant)
{
    small_deployment deployment({2, 1, 1, true});
    EXPECT_GT(deployment.explore(8), 1);
}

} // namespace
