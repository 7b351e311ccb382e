/// @file serving_test.cpp
/// Limit, queue and shed level of one upstream, against a modelled upstream on a virtual clock.
#include "turmericspar/policy/serving.h"

#include <functional>
#include <gtest/gtest.h>
#include <queue>
#include <random>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

/// A modelled upstream with slots and a queue of its own, beside its node's decisions.
class modelled_upstream
{
public:
    modelled_upstream(const tunables &tuning, int slots, int announced, millis serviceTime)
        : decisions(tuning, policy_mode::full), m_slots(slots), m_serviceTime(serviceTime)
    {
        decisions.announce(announced, 1000, false);
    }

    /// Offers calls at a rate for a time.
    /// @param rankOf the rank of the n-th call
    void run(double perSecond, millis span, const std::function<int(int)> &rankOf)
    {
        std::exponential_distribution<double> gap(perSecond / oneSecond.count);
        const millis end = now + span;
        millis arrival = now + millis{gap(m_random)};
        while (now < end) {
            const millis next = m_ends.empty() ? arrival : std::min(arrival, m_ends.top().first);
            now = next;
            std::vector<serving_action> actions;
            if (next == arrival) {
                arrival += millis{gap(m_random)};
                offered_call call;
                call.id = ++m_calls;
                call.context.place.rank = rankOf(static_cast<int>(m_calls));
                call.context.place.draw = static_cast<std::uint32_t>(m_random());
                call.context.deadline = now + millis{1000};
                m_ranks[call.id] = call.context.place.rank;
                ++offered[call.context.place.rank];
                decisions.offer(call, 0, now, actions);
            } else {
                const auto id = m_ends.top().second;
                m_ends.pop();
                ++done[m_ranks[id]];
                --m_inSlots;
                startInSlots();
                run_report report;
                report.ownTime = now - m_started[id];
                report.answered = true;
                decisions.ended(id, report, now, actions);
            }
            for (const auto &action : actions) {
                if (action.what == serving_action::verb::start) {
                    m_started[action.id] = now;
                    m_inside.push(action.id);
                    mostInside = std::max(mostInside, static_cast<int>(decisions.running()));
                }
            }
            startInSlots();
        }
    }

    serving decisions;
    millis now{1};
    std::map<int, int> offered;
    std::map<int, int> done;
    int mostInside = 0;

private:
    void startInSlots()
    {
        while (m_inSlots < m_slots && !m_inside.empty()) {
            ++m_inSlots;
            std::uniform_real_distribution<double> time(0.5 * m_serviceTime.count, 1.5 * m_serviceTime.count);
            m_ends.emplace(now + millis{time(m_random)}, m_inside.front());
            m_inside.pop();
        }
    }

    int m_slots;
    millis m_serviceTime;
    std::mt19937_64 m_random{7};
    call_id m_calls = 0;
    int m_inSlots = 0;
    std::queue<call_id> m_inside;
    std::map<call_id, millis> m_started;
    std::map<call_id, int> m_ranks;
    using end_event = std::pair<millis, call_id>;
    std::priority_queue<end_event, std::vector<end_event>, std::greater<>> m_ends;
};

TEST(serving, uses_the_whole_upstream_at_twice_its_capacity)
{
    const tunables tuning;
    modelled_upstream upstream(tuning, 35, 35, {200});
    upstream.run(100, {3000}, [](int) { return 0; });
    upstream.done.clear();
    upstream.run(350, {10'000}, [](int) { return 0; });
    EXPECT_GT(upstream.done[0], 0.95 * 175 * 10);
    EXPECT_LT(upstream.decisions.limit(), 60);
}

TEST(serving, serves_the_important_first)
{
    const tunables tuning;
    modelled_upstream upstream(tuning, 10, 10, {40});
    upstream.run(1000, {5000}, [](int n) { return n % 10 == 0 ? 0 : 2; });
    EXPECT_GT(upstream.done[0], 0.98 * upstream.offered[0]);
}

TEST(serving, finds_the_slots_of_an_upstream_that_announces_too_many)
{
    const tunables tuning;
    modelled_upstream upstream(tuning, 20, 200, {100});
    upstream.run(50, {3000}, [](int) { return 0; });
    upstream.run(400, {10'000}, [](int) { return 0; });
    EXPECT_LT(upstream.decisions.limit(), 40);
    EXPECT_GE(upstream.decisions.limit(), 15);
}

TEST(serving, finds_the_slots_of_an_upstream_that_announces_too_few)
{
    const tunables tuning;
    modelled_upstream upstream(tuning, 40, 5, {100});
    upstream.run(800, {20'000}, [](int) { return 0; });
    EXPECT_GT(upstream.decisions.limit(), 30);
}

RC_GTEST_PROP(serving, accounts_for_every_call, ())
{
    const tunables tuning;
    serving decisions(tuning, policy_mode::full);
    decisions.announce(*rc::gen::inRange(1, 5), 8, false);
    std::set<call_id> open;
    std::set<call_id> started;
    call_id next = 1;
    millis now{1};
    const auto note = [&](const std::vector<serving_action> &actions) {
        for (const auto &action : actions) {
            RC_ASSERT(open.contains(action.id));
            if (action.what == serving_action::verb::start) {
                RC_ASSERT(started.insert(action.id).second);
            } else if (action.what == serving_action::verb::refuse) {
                // What is refused has not run and never will.
                RC_ASSERT(!started.contains(action.id));
                open.erase(action.id);
            }
        }
    };
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int step : steps) {
        now += millis{static_cast<double>(step % 7)};
        std::vector<serving_action> actions;
        if (step < 50) {
            offered_call call;
            call.id = next++;
            call.context.place = {step % 3, false, static_cast<std::uint32_t>(step) * 85'899'345U};
            call.context.depth = step % 2;
            call.context.deadline = now + millis{static_cast<double>(step)};
            open.insert(call.id);
            decisions.offer(call, 0, now, actions);
        } else if (step < 80 && !started.empty()) {
            const auto id = *started.begin();
            note(actions);
            started.erase(id);
            run_report report;
            report.ownTime = {5};
            report.answered = step % 5 != 0;
            decisions.ended(id, report, now, actions);
            open.erase(id);
        } else if (step < 90 && !open.empty()) {
            decisions.giveUp(*open.begin(), refusal_reason::cancelled, now, actions);
        } else {
            decisions.setDraining(step % 2 == 0, now, actions);
            decisions.tick(now, actions);
        }
        note(actions);
        RC_ASSERT(decisions.running() == started.size());
        RC_ASSERT(decisions.running() + decisions.waiting() == open.size());
        RC_ASSERT(static_cast<int>(decisions.running()) <= 8);
    }
}

TEST(serving, drains_at_once_and_resumes)
{
    const tunables tuning;
    serving decisions(tuning, policy_mode::full);
    decisions.announce(1, 1, false);
    std::vector<serving_action> actions;
    for (call_id id = 1; id <= 3; ++id) {
        offered_call call;
        call.id = id;
        call.context.deadline = {1000};
        decisions.offer(call, 0, {1}, actions);
    }
    actions.clear();
    decisions.setDraining(true, {2}, actions);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(actions[0].reason, refusal_reason::draining);
    EXPECT_EQ(decisions.running(), 1U);
}

TEST(serving, work_above_its_limit_goes_last)
{
    const tunables tuning;
    serving decisions(tuning, policy_mode::full);
    decisions.announce(1, 10, false);
    configuration declared;
    work_class urgent;
    urgent.limitPerSecond = 1;
    declared.classes["urgent"] = urgent;
    decisions.configure(declared, 1);
    std::vector<serving_action> actions;
    const auto offer = [&](call_id id, const std::string &klass, int rank) {
        offered_call call;
        call.id = id;
        call.context.klass = klass;
        call.context.place.rank = rank;
        call.context.deadline = {100'000};
        decisions.offer(call, 0, {1}, actions);
        return call.context.place.excess;
    };
    EXPECT_FALSE(offer(1, "urgent", 0)); // takes the only token and the only slot
    EXPECT_TRUE(offer(2, "urgent", 0));
    EXPECT_FALSE(offer(3, "routine", 1));
    actions.clear();
    decisions.ended(1, {{10}, true, false}, {20}, actions);
    ASSERT_FALSE(actions.empty());
    EXPECT_EQ(actions[0].id, 3U);
}

/// Runs a call alone for a time.
void runCall(serving &decisions, call_id id, const std::string &klass, int depth, millis start, millis lasts)
{
    std::vector<serving_action> actions;
    offered_call call;
    call.id = id;
    call.context.klass = klass;
    call.context.depth = depth;
    call.context.deadline = start + lasts * 3;
    decisions.offer(call, 0, start, actions);
    decisions.ended(id, {lasts, true, false}, start + lasts, actions);
}

/// An upstream answers its own requests slowly and the calls of another service fast: a call with little time left is one of the fast.
TEST(serving, a_short_call_is_not_judged_by_the_time_of_long_requests)
{
    const tunables tuning;
    serving decisions(tuning, policy_mode::full);
    decisions.announce(10, 10, false);
    millis now{1};
    for (call_id id = 1; id <= 40; id += 2) {
        runCall(decisions, id, "booking", 0, now, {600});
        runCall(decisions, id + 1, "history", 1, now, {100});
        now += millis{1000};
    }
    const auto offer = [&](call_id id, const std::string &klass, int depth, millis left) {
        std::vector<serving_action> actions;
        offered_call call;
        call.id = id;
        call.context.klass = klass;
        call.context.depth = depth;
        call.context.deadline = now + left;
        decisions.offer(call, 0, now, actions);
        return actions.at(0).what;
    };
    EXPECT_EQ(offer(101, "history", 1, {200}), serving_action::verb::start);
    EXPECT_EQ(offer(102, "history", 1, {50}), serving_action::verb::refuse);
    EXPECT_EQ(offer(103, "booking", 0, {200}), serving_action::verb::refuse);
    EXPECT_EQ(offer(104, "booking", 0, {700}), serving_action::verb::start);
}

} // namespace
