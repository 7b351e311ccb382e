#include "turmericspar/policy/serving.h"

#include "turmericspar/policy/moving_average.h"

#include <algorithm>

namespace turmericspar {

namespace {

/// Calls that may wait in pass-through mode, so that memory stays bounded.
constexpr std::size_t passThroughQueue = 100'000;

/// A burst of this span is within a class's limit.
constexpr double limitBurstSeconds = 0.2;

} // namespace

serving::serving(const tunables &tuning, policy_mode mode) : m_tuning(tuning), m_mode(mode), m_limiter(tuning), m_level(tuning) { }

void serving::announce(int slots, int connections, bool cold)
{
    m_connections = std::max(connections, 1);
    m_limiter.announce(slots, connections, cold);
}

void serving::setDraining(bool draining, millis now, std::vector<serving_action> &actions)
{
    m_draining = draining;
    while (m_draining && !m_queue.empty()) {
        refuse(m_queue.popMost().id, refusal_reason::draining, actions);
    }
    startWaiting(now, actions);
}

void serving::configure(const configuration &declared, double share)
{
    std::erase_if(m_classLimits, [&](const auto &entry) {
        const auto found = declared.classes.find(entry.first);
        return found == declared.classes.end() || !found->second.limitPerSecond;
    });
    for (const auto &[name, klass] : declared.classes) {
        if (klass.limitPerSecond) {
            const double rate = *klass.limitPerSecond * share;
            m_classLimits[name].setRate(rate, std::max(1.0, rate * limitBurstSeconds));
        }
    }
}

int serving::limit() const
{
    return m_mode == policy_mode::none ? m_connections : m_limiter.limit();
}

bool serving::withinLimit(const std::string &klass, millis now)
{
    const auto found = m_classLimits.find(klass);
    return found == m_classLimits.end() || found->second.take(now);
}

millis serving::usualTime(const std::string &klass, bool admitted) const
{
    const auto found = m_usualTimes.find({klass, admitted});
    return found == m_usualTimes.end() ? millis{0} : found->second;
}

void serving::offer(offered_call &call, double levelBelow, millis now, std::vector<serving_action> &actions)
{
    const bool isRoot = call.context.depth == 0;
    const millis startBy = call.context.deadline - usualTime(call.context.klass, !isRoot) * m_tuning.serviceTimeMargin;
    waiting_call placed{call.id, call.context.place, !isRoot, startBy, now, call.context.klass};

    // Step 1. An upstream that leaves takes nothing
    if (m_draining) {
        refuse(call.id, refusal_reason::draining, actions);
        return;
    }
    if (m_mode == policy_mode::none) {
        enqueue(placed, actions);
        startWaiting(now, actions);
        return;
    }

    // Step 2. A new request is placed within or above the limit of its class, for all hops to come
    if (isRoot && !withinLimit(call.context.klass, now)) {
        call.context.place.excess = true;
        placed.place.excess = true;
    }

    // Step 3. A new request is refused if it would be shed here or further down
    m_level.arrived(placed.place, now);
    const bool belowLevel = placed.place.importance() < std::max(m_level.level(), levelBelow);
    if (isRoot && belowLevel) {
        refuse(call.id, refusal_reason::overload, actions);
        m_level.observe(m_queue.size(), static_cast<int>(m_running.size()), limit(), now);
        return;
    }

    // Step 4. A new request whose calls would find no room further down is refused before it begins
    if (isRoot && !windowOf(call.context.klass).hasRoom()) {
        refuse(call.id, refusal_reason::overload, actions);
        return;
    }

    // Step 5. What can't be answered in time is not begun
    if (startBy < now) {
        refuse(call.id, refusal_reason::deadline, actions);
        return;
    }
    enqueue(placed, actions);
    startWaiting(now, actions);
    m_level.observe(m_queue.size(), static_cast<int>(m_running.size()), limit(), now);
}

std::size_t serving::queueCapacity(bool admitted) const
{
    if (m_mode == policy_mode::none) {
        return passThroughQueue;
    }
    const double share = m_tuning.queueShare * (admitted ? m_tuning.admittedQueueFactor : 1.0);
    return static_cast<std::size_t>(std::max<double>(m_tuning.queueLeast, limit() * share));
}

/// Lets a call wait; when the queue is full, the least important call has to go.
void serving::enqueue(const waiting_call &call, std::vector<serving_action> &actions)
{
    if (m_queue.size() < queueCapacity(call.admitted)) {
        m_queue.push(call);
        return;
    }
    if (m_mode == policy_mode::none || !call_queue::before(call, m_queue.least())) {
        refuse(call.id, refusal_reason::overload, actions);
        return;
    }
    refuse(m_queue.popLeast().id, refusal_reason::overload, actions);
    m_queue.push(call);
}

void serving::startWaiting(millis now, std::vector<serving_action> &actions)
{
    while (!m_draining && !m_queue.empty() && static_cast<int>(m_running.size()) < limit()) {
        const waiting_call next = m_queue.popMost();
        if (m_mode == policy_mode::full && next.startBy < now) {
            refuse(next.id, refusal_reason::deadline, actions);
        } else {
            start(next, now, actions);
        }
    }
}

void serving::start(const waiting_call &call, millis now, std::vector<serving_action> &actions)
{
    m_running.emplace(call.id, running_call{now, call.klass, call.admitted});
    if (!call.admitted) {
        windowOf(call.klass).started(now);
    }
    m_level.started(now);
    actions.push_back({serving_action::verb::start, call.id, refusal_reason::none});
}

void serving::refuse(call_id id, refusal_reason reason, std::vector<serving_action> &actions)
{
    actions.push_back({serving_action::verb::refuse, id, reason});
}

void serving::ended(call_id id, const run_report &report, millis now, std::vector<serving_action> &actions)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const int running = static_cast<int>(m_running.size());
    const auto ended = std::move(found->second);
    const millis startedAt = ended.startedAt;
    const millis wholeTime = now - startedAt;
    if (!ended.admitted) {
        windowOf(ended.klass).ended(report.failedBelow, startedAt, now, limit());
    }
    m_running.erase(found);
    if (report.answered || report.shed) {
        m_limiter.answered(report.ownTime, report.shed, running, startedAt, now);
    }
    if (report.answered && !report.shed) {
        updateAverage(m_usualTimes[{ended.klass, ended.admitted}], wholeTime, m_tuning.latencyBlend);
    }
    startWaiting(now, actions);
    m_level.observe(m_queue.size(), static_cast<int>(m_running.size()), limit(), now);
}

double serving::window(const std::string &klass) const
{
    const auto found = m_windows.find(klass);
    return found == m_windows.end() ? 0 : found->second.window();
}

void serving::giveUp(call_id id, refusal_reason reason, millis now, std::vector<serving_action> &actions)
{
    if (m_queue.remove(id)) {
        refuse(id, reason, actions);
    } else if (m_running.contains(id)) {
        actions.push_back({serving_action::verb::cancel, id, reason});
    }
    startWaiting(now, actions);
}

void serving::tick(millis now, std::vector<serving_action> &actions)
{
    while (m_mode == policy_mode::full) {
        const auto expired = m_queue.popExpired(now);
        if (!expired) {
            break;
        }
        refuse(expired->id, refusal_reason::deadline, actions);
    }
    startWaiting(now, actions);
    m_level.observe(m_queue.size(), static_cast<int>(m_running.size()), limit(), now);
}

} // namespace turmericspar
