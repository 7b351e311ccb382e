/// @file call_queue_test.cpp
/// Compares the queue with a sorted vector, and checks the order of service.
#include "turmericspar/policy/call_queue.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace turmericspar;

rc::Gen<waiting_call> anyCall()
{
    return rc::gen::build<waiting_call>(
        rc::gen::set(&waiting_call::priority,
                     rc::gen::build<call_priority>(rc::gen::set(&call_priority::rank, rc::gen::inRange(0, ranksMax)),
                                                   rc::gen::set(&call_priority::excess, rc::gen::arbitrary<bool>()),
                                                   rc::gen::set(&call_priority::tieBreaker, rc::gen::inRange<std::uint32_t>(0, 5)))),
        rc::gen::set(&waiting_call::admitted, rc::gen::arbitrary<bool>()),
        rc::gen::set(&waiting_call::startBy, rc::gen::map(rc::gen::inRange(0, 100), [](int at) { return millis{static_cast<double>(at)}; })));
}

RC_GTEST_PROP(call_queue, behaves_as_a_sorted_list, ())
{
    call_queue queue;
    std::vector<waiting_call> model;
    call_id next = 1;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int step : steps) {
        std::sort(model.begin(), model.end(), call_queue::before);
        if (step <= 2 || model.empty()) {
            auto call = *anyCall();
            call.id = next++;
            queue.push(call);
            model.push_back(call);
        } else if (step == 3) {
            RC_ASSERT(queue.popHighest().id == model.front().id);
            model.erase(model.begin());
        } else if (step == 4) {
            RC_ASSERT(queue.popLowest().id == model.back().id);
            model.pop_back();
        } else {
            const millis now{static_cast<double>(*rc::gen::inRange(0, 100))};
            const auto expired = queue.popExpired(now);
            const auto due = std::count_if(model.begin(), model.end(), [&](const auto &call) { return call.startBy < now; });
            RC_ASSERT(expired.has_value() == (due > 0));
            if (expired) {
                std::erase_if(model, [&](const auto &call) { return call.id == expired->id; });
            }
        }
        RC_ASSERT(queue.size() == model.size());
    }
}

TEST(call_queue, serves_by_limit_then_rank_then_admission_then_tie_breaker)
{
    call_queue queue;
    queue.push({1, {0, true, 9}, false, {100}, {}}); // rank 0, but above the limit of its class
    queue.push({2, {2, false, 9}, false, {100}, {}});
    queue.push({3, {1, false, 1}, false, {100}, {}});
    queue.push({4, {1, false, 7}, false, {100}, {}});
    queue.push({5, {1, false, 0}, true, {100}, {}});
    std::vector<call_id> order;
    while (!queue.empty()) {
        order.push_back(queue.popHighest().id);
    }
    EXPECT_EQ(order, (std::vector<call_id>{5, 4, 3, 2, 1}));
}

RC_GTEST_PROP(call_priority, importance_agrees_with_the_queue, ())
{
    const auto left = *anyCall();
    const auto right = *anyCall();
    RC_PRE(left.admitted == right.admitted);
    if (left.priority.importance() > right.priority.importance()) {
        RC_ASSERT(call_queue::before(left, right));
    }
}

} // namespace
