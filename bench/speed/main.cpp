/// @file main.cpp
/// speed: what one decision costs, against the number of queued calls and of upstreams.
#include "turmericspar/policy/call_queue.h"
#include "turmericspar/policy/load_balancer.h"
#include "turmericspar/policy/membership.h"
#include "turmericspar/policy/once.h"

#include <benchmark/benchmark.h>
#include <random>

namespace {

using namespace turmericspar;

void queuePushAndPop(benchmark::State &state)
{
    std::mt19937_64 random(1);
    call_queue queue;
    call_id id = 0;
    const auto push = [&] {
        queue.push({++id, {static_cast<int>(random() % 4), false, static_cast<std::uint32_t>(random())}, false, {static_cast<double>(random() % 100'000)}, {}});
    };
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        push();
    }
    while (state.KeepRunning()) {
        push();
        benchmark::DoNotOptimize(queue.popLowest());
    }
}
BENCHMARK(queuePushAndPop)->RangeMultiplier(10)->Range(1, 100'000);

void routingChoice(benchmark::State &state)
{
    const tunables tuning;
    load_balancer routes(tuning, "d0", 1);
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        routes.update("10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":1", "s", "d" + std::to_string(i % 6), true);
    }
    while (state.KeepRunning()) {
        const auto node = routes.choose("s", {}, {1});
        routes.sent(node);
        routes.done(node, true, {{10}, true, false, 10, 1}, {1});
    }
}
BENCHMARK(routingChoice)->Arg(1)->Arg(10)->Arg(100)->Arg(1500);

void onceBeginAndFinish(benchmark::State &state)
{
    once_table table({}, {0});
    std::uint64_t next = 0;
    millis now{1e6};
    while (state.KeepRunning()) {
        const auto key = std::to_string(++next);
        now += millis{1};
        table.begin(key, 0, {now, now});
        table.finish(key, "answer", now);
    }
}
BENCHMARK(onceBeginAndFinish);

void gossipReceived(benchmark::State &state)
{
    member self;
    self.node = "10.1.0.1:1";
    membership node({}, self, 1);
    std::vector<member> table;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        member entry;
        entry.node = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":1";
        table.push_back(entry);
    }
    node.mergeTable(table, {1});
    gossip_message message;
    message.kind = gossip_kind::probe;
    message.from = table.front().node;
    message.updates = {table.front()};
    std::vector<addressed_gossip> out;
    while (state.KeepRunning()) {
        out.clear();
        node.received(message, {1}, out);
    }
}
BENCHMARK(gossipReceived)->Arg(10)->Arg(100)->Arg(1500);

} // namespace

BENCHMARK_MAIN();
