/// @file admission_controller_test.cpp
/// Admission control with a simulated upstream on a virtual clock.
#include "turmericspar/policy/admission_controller.h"

#include <functional>
#include <gtest/gtest.h>
#include <queue>
#include <random>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

/// A simulated upstream with slots and an internal queue, behind an admission controller.
class simulated_upstream
{
public:
    simulated_upstream(const tunables &tuning, int slots, int announced, millis serviceTime)
        : controller(tuning, policy_mode::full), m_slots(slots), m_serviceTime(serviceTime)
    {
        controller.announce(announced, 1000, false);
    }

    /// Offers calls at a given rate for a given time.
    /// @param rankOf returns the rank of the n-th call
    void run(double perSecond, millis span, const std::function<int(int)> &rankOf)
    {
        std::exponential_distribution<double> gap(perSecond / oneSecond.count);
        const millis end = now + span;
        millis arrival = now + millis{gap(m_random)};
        while (now < end) {
            const millis next = m_ends.empty() ? arrival : std::min(arrival, m_ends.top().first);
            gapMax = std::max(gapMax, next - now);
            now = next;
            std::vector<admission_action> actions;
            if (next == arrival) {
                arrival += millis{gap(m_random)};
                offered_call call;
                call.id = ++m_calls;
                call.context.priority.rank = rankOf(static_cast<int>(m_calls));
                call.context.priority.tieBreaker = static_cast<std::uint32_t>(m_random());
                call.context.deadline = now + millis{1000};
                m_ranks[call.id] = call.context.priority.rank;
                m_offered[call.id] = now;
                ++offered[call.context.priority.rank];
                controller.offer(call, 0, now, actions);
            } else {
                const auto id = m_ends.top().second;
                m_ends.pop();
                ++done[m_ranks[id]];
                --m_busySlots;
                fillSlots();
                run_report report;
                report.selfTime = now - m_started[id];
                report.answered = true;
                controller.rateStated(statedLimit, id, now);
                controller.ended(id, report, now, actions);
            }
            controller.tick(now, actions);
            for (const auto &action : actions) {
                if (action.type == admission_action::action_type::start) {
                    m_started[action.id] = now;
                    starts.push_back(now);
                    m_queued.push(action.id);
                    runningMax = std::max(runningMax, static_cast<int>(controller.running()));
                } else if (action.type == admission_action::action_type::refuse) {
                    waitMax = std::max(waitMax, now - m_offered[action.id]);
                    roomIn.push_back(action.roomIn);
                }
            }
            fillSlots();
        }
    }

    admission_controller controller;
    millis now{1};
    std::map<int, int> offered;
    std::map<int, int> done;
    int runningMax = 0;
    std::optional<double> statedLimit; ///< requests a second that the upstream states in its answers
    std::vector<millis> starts;
    std::vector<millis> roomIn; ///< of the refused calls
    millis gapMax{0}; ///< longest time between two steps of the simulation
    millis waitMax{0}; ///< longest wait of a call that was then refused

private:
    void fillSlots()
    {
        while (m_busySlots < m_slots && !m_queued.empty()) {
            ++m_busySlots;
            std::uniform_real_distribution<double> time(0.5 * m_serviceTime.count, 1.5 * m_serviceTime.count);
            m_ends.emplace(now + millis{time(m_random)}, m_queued.front());
            m_queued.pop();
        }
    }

    int m_slots;
    millis m_serviceTime;
    std::mt19937_64 m_random{7};
    call_id m_calls = 0;
    int m_busySlots = 0;
    std::queue<call_id> m_queued;
    std::map<call_id, millis> m_started;
    std::map<call_id, int> m_ranks;
    std::map<call_id, millis> m_offered;
    using end_event = std::pair<millis, call_id>;
    std::priority_queue<end_event, std::vector<end_event>, std::greater<>> m_ends;
};

TEST(admission_controller, uses_full_capacity_at_twice_the_load)
{
    const tunables tuning;
    simulated_upstream upstream(tuning, 35, 35, {200});
    upstream.run(100, {3000}, [](int) { return 0; });
    upstream.done.clear();
    upstream.run(350, {10'000}, [](int) { return 0; });
    EXPECT_GT(upstream.done[0], 0.95 * 175 * 10);
    EXPECT_LT(upstream.controller.limit(), 60);
}

/// Load far above the limit that an upstream states, while it has free slots.
class limited_upstream : public testing::Test
{
protected:
    limited_upstream() { upstream.statedLimit = limit; }

    static constexpr double limit = 10;
    const tunables tuning;
    simulated_upstream upstream{tuning, 30, 30, {100}};
};

// Guards against an upstream in need that gets more than it states that it takes.
TEST_F(limited_upstream, gets_no_more_than_it_states)
{
    upstream.run(200, {1000}, [](int) { return 0; });
    upstream.starts.clear();
    upstream.run(200, {20'000}, [](int) { return 0; });
    std::size_t most = 0;
    for (std::size_t first = 0, next = 0; first < upstream.starts.size(); ++first) {
        while (next < upstream.starts.size() && upstream.starts[next] - upstream.starts[first] < millis{4000}) {
            ++next;
        }
        most = std::max(most, next - first);
    }
    EXPECT_LE(static_cast<double>(most), 1.5 * limit * 4 + 5);
    EXPECT_GE(static_cast<double>(upstream.starts.size()), 0.95 * limit * 20);
}

// Guards against routine work that takes what a limited upstream has left for urgent work.
TEST_F(limited_upstream, serves_the_most_important_calls)
{
    upstream.run(200, {1000}, [](int) { return 2; });
    upstream.offered.clear();
    upstream.done.clear();
    upstream.run(200, {20'000}, [](int n) { return n % 40 == 0 ? 0 : 2; });
    EXPECT_GE(upstream.done[0], 0.95 * upstream.offered[0]);
    EXPECT_GT(upstream.done[2], 0);
}

// Guards against calls that are held although the limit leaves no room for them, and refused without a time to come back.
TEST_F(limited_upstream, refuses_at_once_and_states_when_there_may_be_room)
{
    upstream.run(200, {1000}, [](int) { return 0; });
    upstream.roomIn.clear();
    upstream.waitMax = {0};
    upstream.run(200, {10'000}, [](int) { return 0; });
    EXPECT_LE(upstream.waitMax, tuning.paceWaitMax + upstream.gapMax);
    ASSERT_FALSE(upstream.roomIn.empty());
    for (const auto &wait : upstream.roomIn) {
        EXPECT_GT(wait.count, 0);
        EXPECT_LE(wait.count, 2 * tuning.paceWaitMax.count);
    }
}

TEST_F(limited_upstream, is_used_in_full_again_when_its_answers_state_no_limit)
{
    upstream.run(200, {3000}, [](int) { return 0; });
    upstream.statedLimit.reset();
    upstream.run(200, {2000}, [](int) { return 0; });
    upstream.starts.clear();
    upstream.run(200, {5000}, [](int) { return 0; });
    EXPECT_GE(upstream.starts.size(), 900U);
}

// Guards against a burst from a node that has started while its upstream states a limit.
TEST_F(limited_upstream, gets_few_calls_before_its_first_answer)
{
    upstream.run(1000, {40}, [](int) { return 0; });
    EXPECT_LE(upstream.starts.size(), static_cast<std::size_t>(tuning.startsBeforeAnswer));
    EXPECT_GE(upstream.starts.size(), 1U);
}

TEST(admission_controller, serves_more_important_calls_first)
{
    const tunables tuning;
    simulated_upstream upstream(tuning, 10, 10, {40});
    upstream.run(1000, {5000}, [](int n) { return n % 10 == 0 ? 0 : 2; });
    EXPECT_GT(upstream.done[0], 0.98 * upstream.offered[0]);
}

TEST(admission_controller, lowers_the_limit_if_too_many_slots_are_announced)
{
    const tunables tuning;
    simulated_upstream upstream(tuning, 20, 200, {100});
    upstream.run(50, {3000}, [](int) { return 0; });
    upstream.run(400, {10'000}, [](int) { return 0; });
    EXPECT_LT(upstream.controller.limit(), 40);
    EXPECT_GE(upstream.controller.limit(), 15);
}

TEST(admission_controller, raises_the_limit_if_too_few_slots_are_announced)
{
    const tunables tuning;
    simulated_upstream upstream(tuning, 40, 5, {100});
    upstream.run(800, {20'000}, [](int) { return 0; });
    EXPECT_GT(upstream.controller.limit(), 30);
}

RC_GTEST_PROP(admission_controller, accounts_for_every_call, ())
{
    const tunables tuning;
    admission_controller controller(tuning, policy_mode::full);
    controller.announce(*rc::gen::inRange(1, 5), 8, false);
    std::set<call_id> open;
    std::set<call_id> started;
    call_id next = 1;
    millis now{1};
    const auto note = [&](const std::vector<admission_action> &actions) {
        for (const auto &action : actions) {
            RC_ASSERT(open.contains(action.id));
            if (action.type == admission_action::action_type::start) {
                RC_ASSERT(started.insert(action.id).second);
            } else if (action.type == admission_action::action_type::refuse) {
                // A refused call has not been started and never will be.
                RC_ASSERT(!started.contains(action.id));
                open.erase(action.id);
            }
        }
    };
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int step : steps) {
        now += millis{static_cast<double>(step % 7)};
        std::vector<admission_action> actions;
        if (step < 50) {
            offered_call call;
            call.id = next++;
            call.context.priority = {step % 3, false, static_cast<std::uint32_t>(step) * 85'899'345U};
            call.context.depth = step % 2;
            call.context.deadline = now + millis{static_cast<double>(step)};
            open.insert(call.id);
            controller.offer(call, 0, now, actions);
        } else if (step < 80 && !started.empty()) {
            const auto id = *started.begin();
            note(actions);
            started.erase(id);
            run_report report;
            report.selfTime = {5};
            report.answered = step % 5 != 0;
            controller.ended(id, report, now, actions);
            open.erase(id);
        } else if (step < 90 && !open.empty()) {
            controller.cancel(*open.begin(), refusal_reason::cancelled, now, actions);
        } else {
            controller.setDraining(step % 2 == 0, now, actions);
            controller.tick(now, actions);
        }
        note(actions);
        RC_ASSERT(controller.running() == started.size());
        RC_ASSERT(controller.running() + controller.waiting() == open.size());
        RC_ASSERT(static_cast<int>(controller.running()) <= 8);
    }
}

TEST(admission_controller, draining_refuses_queued_calls)
{
    const tunables tuning;
    admission_controller controller(tuning, policy_mode::full);
    controller.announce(1, 1, false);
    std::vector<admission_action> actions;
    for (call_id id = 1; id <= 3; ++id) {
        offered_call call;
        call.id = id;
        call.context.deadline = {1000};
        controller.offer(call, 0, {1}, actions);
    }
    actions.clear();
    controller.setDraining(true, {2}, actions);
    ASSERT_EQ(actions.size(), 2U);
    EXPECT_EQ(actions[0].reason, refusal_reason::draining);
    EXPECT_EQ(controller.running(), 1U);
}

TEST(admission_controller, calls_above_the_class_limit_are_served_last)
{
    const tunables tuning;
    admission_controller controller(tuning, policy_mode::full);
    controller.announce(1, 10, false);
    configuration declared;
    work_class urgent;
    urgent.limitPerSecond = 1;
    declared.classes["urgent"] = urgent;
    controller.configure(declared, 1);
    std::vector<admission_action> actions;
    const auto offer = [&](call_id id, const std::string &klass, int rank) {
        offered_call call;
        call.id = id;
        call.context.klass = klass;
        call.context.priority.rank = rank;
        call.context.deadline = {100'000};
        controller.offer(call, 0, {1}, actions);
        return call.context.priority.excess;
    };
    EXPECT_FALSE(offer(1, "urgent", 0)); // takes the only token and the only slot
    EXPECT_TRUE(offer(2, "urgent", 0));
    EXPECT_FALSE(offer(3, "routine", 1));
    actions.clear();
    controller.ended(1, {{10}, true, false}, {20}, actions);
    ASSERT_FALSE(actions.empty());
    EXPECT_EQ(actions[0].id, 3U);
}

/// Runs a single call for a given time.
void runCall(admission_controller &controller, call_id id, const std::string &klass, int depth, millis start, millis lasts)
{
    std::vector<admission_action> actions;
    offered_call call;
    call.id = id;
    call.context.klass = klass;
    call.context.depth = depth;
    call.context.deadline = start + lasts * 3;
    controller.offer(call, 0, start, actions);
    controller.ended(id, {lasts, true, false}, start + lasts, actions);
}

/// An upstream answers its own requests slowly and calls from another service fast. A call with a short deadline must be compared with the
/// average time of such calls, not with that of the slow requests, or it would be refused.
TEST(admission_controller, average_times_of_calls_and_new_requests_are_separate)
{
    const tunables tuning;
    admission_controller controller(tuning, policy_mode::full);
    controller.announce(10, 10, false);
    millis now{1};
    for (call_id id = 1; id <= 40; id += 2) {
        runCall(controller, id, "booking", 0, now, {600});
        runCall(controller, id + 1, "history", 1, now, {100});
        now += millis{1000};
    }
    const auto offer = [&](call_id id, const std::string &klass, int depth, millis left) {
        std::vector<admission_action> actions;
        offered_call call;
        call.id = id;
        call.context.klass = klass;
        call.context.depth = depth;
        call.context.deadline = now + left;
        controller.offer(call, 0, now, actions);
        return actions.at(0).type;
    };
    EXPECT_EQ(offer(101, "history", 1, {200}), admission_action::action_type::start);
    EXPECT_EQ(offer(102, "history", 1, {50}), admission_action::action_type::refuse);
    EXPECT_EQ(offer(103, "booking", 0, {200}), admission_action::action_type::refuse);
    EXPECT_EQ(offer(104, "booking", 0, {700}), admission_action::action_type::start);
}

} // namespace
