#include "turmericspar/policy/admission_controller.h"

#include "turmericspar/policy/moving_average.h"

#include <algorithm>

namespace turmericspar {

namespace {

/// Queue capacity in pass-through mode; it bounds memory use.
constexpr std::size_t passThroughQueueCapacity = 100'000;

/// Requests of this time span may arrive at once without exceeding the limit of a class.
constexpr double classLimitBurstSeconds = 0.2;

} // namespace

admission_controller::admission_controller(const tunables &tuning, policy_mode mode)
    : m_tuning(tuning), m_mode(mode), m_limiter(tuning), m_pacer(tuning), m_level(tuning)
{
}

void admission_controller::announce(int slots, int connections, bool cold)
{
    m_connections = std::max(connections, 1);
    m_limiter.announce(slots, connections, cold);
}

void admission_controller::setDraining(bool draining, millis now, std::vector<admission_action> &actions)
{
    m_draining = draining;
    while (m_draining && !m_queue.empty()) {
        refuse(m_queue.popHighest().id, refusal_reason::draining, actions);
    }
    startWaiting(now, actions);
}

void admission_controller::configure(const configuration &declared, double share)
{
    std::erase_if(m_classLimits, [&](const auto &entry) {
        const auto found = declared.classes.find(entry.first);
        return found == declared.classes.end() || !found->second.limitPerSecond;
    });
    for (const auto &[name, klass] : declared.classes) {
        if (klass.limitPerSecond) {
            const double rate = *klass.limitPerSecond * share;
            m_classLimits[name].setRate(rate, std::max(1.0, rate * classLimitBurstSeconds));
        }
    }
}

int admission_controller::limit() const
{
    return m_mode == policy_mode::none ? m_connections : m_limiter.limit();
}

bool admission_controller::takeFromClassLimit(const std::string &klass, millis now)
{
    const auto found = m_classLimits.find(klass);
    return found == m_classLimits.end() || found->second.take(now);
}

millis admission_controller::averageTime(const std::string &klass, bool admitted) const
{
    const auto found = m_averageTimes.find({klass, admitted});
    return found == m_averageTimes.end() ? millis{0} : found->second;
}

void admission_controller::offer(offered_call &call, double dependencyLevel, millis now, std::vector<admission_action> &actions)
{
    const bool isRoot = call.context.depth == 0;
    const millis startBy = call.context.deadline - averageTime(call.context.klass, !isRoot) * m_tuning.serviceTimeMargin;
    waiting_call waiting{call.id, call.context.priority, !isRoot, startBy, now, call.context.klass};

    // Step 1. A draining upstream accepts no calls
    if (m_draining) {
        refuse(call.id, refusal_reason::draining, actions);
        return;
    }
    if (m_mode == policy_mode::none) {
        enqueue(waiting, now, actions);
        startWaiting(now, actions);
        return;
    }

    // Step 2. Mark a new request that exceeds the rate limit of its class; the mark is passed on to all further hops
    if (isRoot && !takeFromClassLimit(call.context.klass, now)) {
        call.context.priority.excess = true;
        waiting.priority.excess = true;
    }

    // Step 3. Refuse a new request that would be shed here or by a service that the upstream calls
    m_level.arrived(waiting.priority, now);
    const bool isShed = waiting.priority.importance() < std::max(m_level.level(), dependencyLevel);
    if (isRoot && isShed) {
        refuse(call.id, refusal_reason::overload, actions);
        m_level.observe(m_queue.size(), static_cast<int>(m_running.size()), limit(), now);
        return;
    }

    // Step 4. Refuse a new request whose own calls would probably fail for lack of capacity at other services
    if (isRoot && !classWindow(call.context.klass).hasRoom()) {
        refuse(call.id, refusal_reason::overload, actions);
        return;
    }

    // Step 5. Refuse a call that can't be answered before its deadline
    if (startBy < now) {
        refuse(call.id, refusal_reason::deadline, actions);
        return;
    }
    if (startBy < now + m_pacer.timeToNextStart(now)) {
        refuseForRoom(call.id, now, actions);
        return;
    }
    enqueue(waiting, now, actions);
    startWaiting(now, actions);
    m_level.observe(m_queue.size(), static_cast<int>(m_running.size()), limit(), now);
}

void admission_controller::rateStated(std::optional<double> perSecond, call_id id, millis now)
{
    const auto found = m_running.find(id);
    if (found != m_running.end()) {
        m_pacer.stated(perSecond, found->second.startedAt, now);
    }
}

/// @return how many calls may be queued: those that the upstream's concurrency limit lets start soon, or its rate limit if that is lower.
std::size_t admission_controller::queueCapacity(bool admitted, millis now)
{
    if (m_mode == policy_mode::none) {
        return passThroughQueueCapacity;
    }
    const double share = m_tuning.queueShare * (admitted ? m_tuning.admittedQueueFactor : 1.0);
    const auto capacity = static_cast<std::size_t>(std::max<double>(m_tuning.queueMin, limit() * share));
    const auto rate = m_pacer.limit();
    if (!rate) {
        return capacity;
    }
    const millis waitLeft = m_tuning.paceWaitMax - m_pacer.timeToNextStart(now);
    const auto paced = waitLeft.count < 0 ? 0 : 1 + static_cast<std::size_t>(*rate * (waitLeft / oneSecond));
    return std::min(capacity, paced);
}

/// @return the time after which the upstream's rate limit lets another call start, behind those that are queued.
millis admission_controller::timeToRoom(millis now)
{
    const auto rate = m_pacer.limit();
    if (!rate) {
        return {0};
    }
    return m_pacer.timeToNextStart(now) + oneSecond * (static_cast<double>(m_queue.size()) / std::max(*rate, m_tuning.paceMin));
}

/// Refuses a call for lack of room, and states when there may be room if the rate limit is the cause.
void admission_controller::refuseForRoom(call_id id, millis now, std::vector<admission_action> &actions)
{
    actions.push_back({admission_action::action_type::refuse, id, refusal_reason::overload, timeToRoom(now)});
}

/// Refuses a queued call whose latest start time has passed.
void admission_controller::refuseExpired(call_id id, millis now, std::vector<admission_action> &actions)
{
    if (m_pacer.limit()) {
        refuseForRoom(id, now, actions);
    } else {
        refuse(id, refusal_reason::deadline, actions);
    }
}

/// Queues a call; if the queue is full, refuses the least important call.
void admission_controller::enqueue(waiting_call call, millis now, std::vector<admission_action> &actions)
{
    if (m_pacer.limit()) {
        call.startBy = std::min(call.startBy, now + m_tuning.paceWaitMax);
    }
    if (m_queue.size() < queueCapacity(call.admitted, now)) {
        m_queue.push(call);
        return;
    }
    if (m_mode == policy_mode::none || m_queue.empty() || !call_queue::before(call, m_queue.lowest())) {
        refuseForRoom(call.id, now, actions);
        return;
    }
    refuseForRoom(m_queue.popLowest().id, now, actions);
    m_queue.push(call);
}

/// @return whether the upstream can take another call now.
bool admission_controller::mayStart(millis now)
{
    const int running = static_cast<int>(m_running.size());
    if (m_mode == policy_mode::none) {
        return running < limit();
    }
    const int startLimit = m_pacer.hasAnswer() ? limit() : std::min(limit(), m_tuning.startsBeforeAnswer);
    return running < startLimit && m_pacer.timeToNextStart(now).count <= 0;
}

void admission_controller::startWaiting(millis now, std::vector<admission_action> &actions)
{
    while (!m_draining && !m_queue.empty() && mayStart(now)) {
        const waiting_call next = m_queue.popHighest();
        if (m_mode == policy_mode::full && next.startBy < now) {
            refuseExpired(next.id, now, actions);
        } else {
            start(next, now, actions);
        }
    }
    // A limit that is stated anew or lowered leaves calls in the queue that it gives no turn in time.
    while (m_pacer.limit() && m_queue.size() > queueCapacity(true, now)) {
        refuseForRoom(m_queue.popLowest().id, now, actions);
    }
}

void admission_controller::start(const waiting_call &call, millis now, std::vector<admission_action> &actions)
{
    m_running.emplace(call.id, running_call{now, call.klass, call.admitted});
    if (!call.admitted) {
        classWindow(call.klass).started(now);
    }
    m_level.started(now);
    m_pacer.started(now);
    actions.push_back({admission_action::action_type::start, call.id, refusal_reason::none, {}});
}

void admission_controller::refuse(call_id id, refusal_reason reason, std::vector<admission_action> &actions)
{
    actions.push_back({admission_action::action_type::refuse, id, reason, {}});
}

void admission_controller::ended(call_id id, const run_report &report, millis now, std::vector<admission_action> &actions)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const int running = static_cast<int>(m_running.size());
    const auto call = std::move(found->second);
    const millis startedAt = call.startedAt;
    const millis totalTime = now - startedAt;
    if (!call.admitted) {
        classWindow(call.klass).ended(report.dependencyFailed, startedAt, now, limit());
    }
    m_running.erase(found);
    if (report.answered || report.shed) {
        m_pacer.answered();
        m_limiter.answered(report.selfTime, report.shed, running, startedAt, now);
    }
    if (report.answered && !report.shed) {
        updateAverage(m_averageTimes[{call.klass, call.admitted}], totalTime, m_tuning.latencyBlend);
    }
    startWaiting(now, actions);
    m_level.observe(m_queue.size(), static_cast<int>(m_running.size()), limit(), now);
}

double admission_controller::window(const std::string &klass) const
{
    const auto found = m_windows.find(klass);
    return found == m_windows.end() ? 0 : found->second.window();
}

void admission_controller::cancel(call_id id, refusal_reason reason, millis now, std::vector<admission_action> &actions)
{
    if (m_queue.remove(id)) {
        refuse(id, reason, actions);
    } else if (m_running.contains(id)) {
        actions.push_back({admission_action::action_type::cancel, id, reason, {}});
    }
    startWaiting(now, actions);
}

void admission_controller::tick(millis now, std::vector<admission_action> &actions)
{
    while (m_mode == policy_mode::full) {
        const auto expired = m_queue.popExpired(now);
        if (!expired) {
            break;
        }
        refuseExpired(expired->id, now, actions);
    }
    startWaiting(now, actions);
    m_level.observe(m_queue.size(), static_cast<int>(m_running.size()), limit(), now);
}

} // namespace turmericspar
