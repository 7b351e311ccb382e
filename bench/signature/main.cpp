/// @file main.cpp
/// bench: replays a committed list of calls against the decisions on a virtual clock and prints one signature.
///
/// One entry and three serving nodes decide for every call of the list; the upstreams are modelled by their slots and the
/// service times of the list. The signature is a hash of every action, so that any change of behaviour changes it.
#include "turmericspar/base/secret.h"
#include "turmericspar/policy/admission_controller.h"
#include "turmericspar/policy/call_dispatcher.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <linux/perf_event.h>
#include <queue>
#include <sstream>
#include <sys/ioctl.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

using namespace turmericspar;

constexpr int upstreams = 3;
constexpr int slots = 10;
constexpr int connections = 100;
constexpr millis callDeadline{1000};
constexpr int retries = 3;

/// One call of the list.
struct listed_call
{
    millis at;
    call_priority place;
    int depth = 0;
    bool once = false;
    millis serviceTime;
    std::string fate;
};

std::vector<listed_call> readCalls(const std::string &path)
{
    std::vector<listed_call> calls;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        if (line.empty() || line[0] == '#') {
            continue;
        }
        listed_call call;
        std::string kind;
        std::istringstream fields(line);
        fields >> call.at.count >> call.place.rank >> call.place.tieBreaker >> call.depth >> kind >> call.serviceTime.count >> call.fate;
        call.once = kind == "once";
        calls.push_back(std::move(call));
    }
    return calls;
}

/// Counts the instructions of this thread, where the processor lets it.
class instruction_counter
{
public:
    instruction_counter()
    {
        perf_event_attr attributes{};
        attributes.type = PERF_TYPE_HARDWARE;
        attributes.size = sizeof(attributes);
        attributes.config = PERF_COUNT_HW_INSTRUCTIONS;
        attributes.exclude_kernel = 1;
        m_descriptor = static_cast<int>(syscall(SYS_perf_event_open, &attributes, 0, -1, -1, 0));
    }
    ~instruction_counter()
    {
        if (m_descriptor >= 0) {
            close(m_descriptor);
        }
    }
    instruction_counter(const instruction_counter &) = delete;
    instruction_counter &operator=(const instruction_counter &) = delete;

    /// @return instructions so far, or -1 if they can't be counted here.
    long long read() const
    {
        long long count = 0;
        return m_descriptor >= 0 && ::read(m_descriptor, &count, sizeof(count)) == sizeof(count) ? count : -1;
    }

private:
    int m_descriptor = -1;
};

/// The entry, the serving nodes, and the modelled upstreams behind them.
class decision_replay
{
public:
    explicit decision_replay(const std::vector<listed_call> &calls) : m_calls(calls), m_routes(m_tuning, "a", 1), m_entry(m_tuning, policy_mode::full, m_routes)
    {
        for (int i = 0; i < upstreams; ++i) {
            m_serving.emplace_back(m_tuning, policy_mode::full);
            m_serving.back().announce(slots, connections, false);
            m_routes.update(std::to_string(i), "s", i == 0 ? "a" : "b", true);
        }
        m_busy.resize(upstreams);
        m_inside.resize(upstreams);
    }

    void run()
    {
        std::size_t next = 0;
        while (next < m_calls.size() || !m_ends.empty()) {
            const bool arrival = next < m_calls.size() && (m_ends.empty() || m_calls[next].at <= m_ends.top().at);
            if (arrival) {
                arrive(next++);
            } else {
                endRun();
            }
            std::vector<dispatch_action> actions;
            m_entry.tick(m_now, actions);
            act(actions);
        }
    }

    std::uint64_t signature() const { return m_signature; }
    std::uint64_t decisions() const { return m_decisions; }
    std::uint64_t answered() const { return m_answered; }

private:
    struct run_end
    {
        millis at;
        int node = 0;
        call_id id = 0;
        bool operator>(const run_end &other) const { return at > other.at; }
    };

    void note(int what, std::uint64_t id, int detail)
    {
        ++m_decisions;
        m_signature = stableHash(fmt::format("{} {} {}", what, id, detail), m_signature);
    }

    void arrive(std::size_t index)
    {
        const auto &listed = m_calls[index];
        m_now = std::max(m_now, listed.at);
        call_context context;
        context.priority = listed.place;
        context.depth = listed.depth;
        context.retries = retries;
        context.deadline = m_now + callDeadline;
        context.intent = listed.once ? call_intent::once : call_intent::repeatable;
        std::vector<dispatch_action> actions;
        m_entry.submit(index + 1, "s", context, m_now, actions);
        act(actions);
    }

    void act(const std::vector<dispatch_action> &actions)
    {
        for (const auto &action : actions) {
            note(static_cast<int>(action.type), action.id, static_cast<int>(action.reason));
            std::vector<admission_action> served;
            const int node = action.node.empty() ? 0 : std::stoi(action.node);
            switch (action.type) {
            case dispatch_action::action_type::forward: {
                offered_call call;
                call.id = action.id;
                call.context.priority = m_calls[action.id - 1].place;
                call.context.depth = m_calls[action.id - 1].depth;
                call.context.deadline = m_now + callDeadline;
                m_attempts[action.id] = action.attempt;
                m_serving[static_cast<std::size_t>(node)].offer(call, 0, m_now, served);
                break;
            }
            case dispatch_action::action_type::cancel:
                m_serving[static_cast<std::size_t>(node)].cancel(action.id, refusal_reason::cancelled, m_now, served);
                break;
            case dispatch_action::action_type::finish:
                m_answered += action.outcome == call_outcome::ran ? 1 : 0;
                break;
            case dispatch_action::action_type::withdraw:
                break;
            }
            act(node, served);
        }
    }

    void act(int node, const std::vector<admission_action> &actions)
    {
        for (const auto &action : actions) {
            note(10 + static_cast<int>(action.type), action.id, static_cast<int>(action.reason));
            if (action.type == admission_action::action_type::start) {
                m_inside[static_cast<std::size_t>(node)].push(action.id);
                startInSlots(node);
            } else if (action.type == admission_action::action_type::refuse) {
                attempt_result result;
                result.outcome = call_outcome::not_run;
                result.reason = action.reason;
                reply(node, action.id, result);
            }
        }
    }

    void startInSlots(int node)
    {
        auto &inside = m_inside[static_cast<std::size_t>(node)];
        auto &busy = m_busy[static_cast<std::size_t>(node)];
        while (busy < slots && !inside.empty()) {
            const auto id = inside.front();
            inside.pop();
            ++busy;
            m_ends.push({m_now + m_calls[id - 1].serviceTime, node, id});
        }
    }

    void endRun()
    {
        const auto end = m_ends.top();
        m_ends.pop();
        m_now = std::max(m_now, end.at);
        --m_busy[static_cast<std::size_t>(end.node)];
        startInSlots(end.node);
        const auto &listed = m_calls[end.id - 1];
        const bool firstTry = m_attempts[end.id] == 1;
        attempt_result result;
        result.outcome = listed.fate == "break" && firstTry ? call_outcome::unknown : call_outcome::ran;
        result.serverError = listed.fate == "fail" && firstTry;
        run_report report;
        report.selfTime = listed.serviceTime;
        report.answered = result.outcome == call_outcome::ran;
        std::vector<admission_action> actions;
        m_serving[static_cast<std::size_t>(end.node)].ended(end.id, report, m_now, actions);
        reply(end.node, end.id, result);
        act(end.node, actions);
    }

    void reply(int node, call_id id, attempt_result result)
    {
        const auto &serving = m_serving[static_cast<std::size_t>(node)];
        result.level = serving.level();
        result.limit = serving.limit();
        result.pending = static_cast<int>(serving.running() + serving.waiting());
        std::vector<dispatch_action> actions;
        m_entry.replied(id, m_attempts[id], result, m_now, actions);
        act(actions);
    }

    const std::vector<listed_call> &m_calls;
    tunables m_tuning;
    load_balancer m_routes;
    call_dispatcher m_entry;
    std::vector<admission_controller> m_serving;
    millis m_now{1};
    std::vector<int> m_busy;
    std::vector<std::queue<call_id>> m_inside;
    std::map<call_id, int> m_attempts;
    std::priority_queue<run_end, std::vector<run_end>, std::greater<>> m_ends;
    std::uint64_t m_signature = 0;
    std::uint64_t m_decisions = 0;
    std::uint64_t m_answered = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const std::string path = argc > 1 ? argv[1] : TURMERICSPAR_DECISIONS;
    const auto calls = readCalls(path);
    if (calls.empty()) {
        std::cerr << "bench: no calls in " << path << '\n';
        return 2;
    }
    decision_replay replay(calls);
    const instruction_counter counter;
    const auto before = counter.read();
    replay.run();
    const auto used = counter.read() - before;
    const auto each = used > 0 ? std::to_string(static_cast<std::uint64_t>(used) / replay.decisions()) : std::string("unavailable");
    fmt::print("signature={:016x} calls={} decisions={} answered={} instructions_per_decision={}\n",
               replay.signature(),
               calls.size(),
               replay.decisions(),
               replay.answered(),
               each);
    return 0;
}
