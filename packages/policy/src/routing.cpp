#include "turmericspar/policy/routing.h"

#include "turmericspar/policy/moving_average.h"

#include <algorithm>

namespace turmericspar {

namespace {

bool contains(const std::vector<node_id> &nodes, const node_id &node)
{
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

/// How much worse an upstream looks whose node was not reached.
constexpr double unreachedFactor = 1000;

} // namespace

routing::routing(const tunables &tuning, std::string ownDomain, std::uint64_t seed) : m_tuning(tuning), m_ownDomain(std::move(ownDomain)), m_random(seed) { }

void routing::update(const node_id &node, const std::string &service, const std::string &domain, bool ready)
{
    auto &slot = m_upstreams[node];
    if (!slot) {
        slot = std::make_unique<upstream_state>();
        slot->node = node;
    }
    unlist(slot.get());
    slot->service = service;
    slot->domain = domain;
    auto &lists = m_services[service];
    slot->siblings = &lists;
    if (ready) {
        lists.all.push_back(slot.get());
        if (domain == m_ownDomain) {
            lists.own.push_back(slot.get());
        }
    }
}

void routing::remove(const node_id &node)
{
    const auto found = m_upstreams.find(node);
    if (found != m_upstreams.end()) {
        unlist(found->second.get());
        m_upstreams.erase(found);
    }
}

void routing::unlist(upstream_state *upstream)
{
    const auto found = m_services.find(upstream->service);
    if (found != m_services.end()) {
        std::erase(found->second.all, upstream);
        std::erase(found->second.own, upstream);
    }
}

bool routing::isOutOfReach(const upstream_state &upstream, millis now) const
{
    return upstream.doubtful || now - upstream.unreachedAt < m_tuning.unreachablePenalty;
}

/// The time that a call may be expected to take at an upstream; failures make it look longer, so that an upstream that
/// fails fast does not draw the load.
double routing::cost(const upstream_state &upstream, millis now) const
{
    const double pending = std::max(upstream.pendingTold, upstream.outstanding) + 1;
    // An upstream whose limit is not known yet looks as crowded as it has calls from here: idle, if it was never called.
    const double crowding = upstream.limit > 0 ? pending / upstream.limit : upstream.outstanding;
    const bool isOwn = upstream.domain == m_ownDomain;
    const double trip = isOwn ? 0 : m_tuning.tripToOtherDomain.count;
    const double distance = isOwn ? 1 : m_tuning.otherDomainFactor;
    const millis usual = upstream.latency.count > 0 ? upstream.latency : upstream.siblings->latency;
    const double latency = std::max(usual.count, 1.0) * (1 + crowding) / std::max(upstream.success, m_tuning.successFloor);
    const bool refusedLately = now - upstream.refusedAt < m_tuning.refusalPenalty;
    return latency * distance * (refusedLately ? 2 : 1) * (isOutOfReach(upstream, now) ? unreachedFactor : 1) + trip;
}

routing::upstream_state *routing::better(upstream_state *left, upstream_state *right, millis now) const
{
    if (!left || !right) {
        return left ? left : right;
    }
    return cost(*right, now) < cost(*left, now) ? right : left;
}

/// Compares a few upstreams of a list, drawn at random, so that a choice costs the same in a service of any size. Those out of reach are
/// passed over as long as there are others.
routing::upstream_state *routing::draw(const std::vector<upstream_state *> &from, int count, const std::vector<node_id> &avoid, millis now)
{
    upstream_state *best = nullptr;
    upstream_state *outOfReach = nullptr;
    const std::size_t size = from.size();
    if (size == 0) {
        return nullptr;
    }
    const std::size_t start = m_random() % size;
    int compared = 0;
    // The second is drawn by a random stride, so that it differs from the first; the walk then goes over all others once.
    const std::size_t stride = size > 1 ? 1 + m_random() % (size - 1) : 1;
    for (std::size_t step = 0; step < size && compared < count; ++step) {
        const std::size_t ahead = step <= 1 ? step * stride : (step <= stride ? step - 1 : step);
        const std::size_t index = (start + ahead) % size;
        auto *candidate = from[index];
        if (contains(avoid, candidate->node)) {
            continue;
        }
        if (isOutOfReach(*candidate, now)) {
            outOfReach = candidate;
            continue;
        }
        best = better(best, candidate, now);
        ++compared;
    }
    return best ? best : outOfReach;
}

node_id routing::choose(const std::string &service, const std::vector<node_id> &avoid, millis now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return {};
    }
    auto *own = draw(found->second.own, m_tuning.candidatesOwn, avoid, now);
    auto *any = draw(found->second.all, m_tuning.candidatesAll, avoid, now);
    const auto *best = better(own, any, now);
    return best ? best->node : node_id();
}

node_id routing::chooseByTurns(const std::string &service, const std::vector<node_id> &avoid)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.all.empty()) {
        return {};
    }
    auto &lists = found->second;
    for (std::size_t step = 0; step < lists.all.size(); ++step) {
        const auto &node = lists.all[lists.turn++ % lists.all.size()]->node;
        if (!contains(avoid, node)) {
            return node;
        }
    }
    return {};
}

void routing::setDoubt(const node_id &node, bool doubtful)
{
    const auto found = m_upstreams.find(node);
    if (found != m_upstreams.end()) {
        found->second->doubtful = doubtful;
    }
}

void routing::sent(const node_id &node)
{
    const auto found = m_upstreams.find(node);
    if (found != m_upstreams.end()) {
        ++found->second->outstanding;
    }
}

void routing::done(const node_id &node, bool answered, const route_sample &sample, millis now)
{
    const auto found = m_upstreams.find(node);
    if (found == m_upstreams.end()) {
        return;
    }
    auto &upstream = *found->second;
    upstream.outstanding = std::max(0, upstream.outstanding - 1);
    if (!answered) {
        return;
    }
    if (sample.unreached) {
        upstream.unreachedAt = now;
    }
    if (sample.limit > 0) {
        upstream.limit = sample.limit;
        upstream.pendingTold = sample.pending;
    }
    if (sample.refused) {
        upstream.refusedAt = now;
        return;
    }
    upstream.success += ((sample.success ? 1.0 : 0.0) - upstream.success) * m_tuning.successBlend;
    if (sample.success) {
        updateAverage(upstream.latency, sample.latency, m_tuning.latencyBlend);
        updateAverage(upstream.siblings->latency, sample.latency, m_tuning.latencyBlend);
    }
}

std::size_t routing::readyCount(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.all.size();
}

millis routing::latency(const node_id &node) const
{
    const auto found = m_upstreams.find(node);
    return found == m_upstreams.end() ? millis{0} : found->second->latency;
}

} // namespace turmericspar
