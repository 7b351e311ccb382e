#include "turmericspar/policy/load_balancer.h"

#include "turmericspar/base/secret.h"
#include "turmericspar/policy/moving_average.h"

#include <algorithm>

namespace turmericspar {

namespace {

bool contains(const std::vector<node_id> &nodes, const node_id &node)
{
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

/// Cost factor of an upstream whose node is unreachable.
constexpr double unreachableFactor = 1000;

} // namespace

load_balancer::load_balancer(const tunables &tuning, std::string ownDomain, std::uint64_t seed)
    : m_tuning(tuning), m_ownDomain(std::move(ownDomain)), m_random(seed)
{
}

void load_balancer::update(const node_id &node, const std::string &service, const std::string &domain, bool ready)
{
    auto &upstream = m_upstreams[node];
    if (!upstream) {
        upstream = std::make_unique<upstream_state>();
        upstream->node = node;
    }
    removeFromGroup(upstream.get());
    upstream->service = service;
    upstream->domain = domain;
    auto &group = m_services[service];
    upstream->group = &group;
    if (ready) {
        group.all.push_back(upstream.get());
        if (domain == m_ownDomain) {
            group.own.push_back(upstream.get());
        }
    }
}

void load_balancer::remove(const node_id &node)
{
    const auto found = m_upstreams.find(node);
    if (found != m_upstreams.end()) {
        removeFromGroup(found->second.get());
        m_upstreams.erase(found);
    }
}

void load_balancer::removeFromGroup(upstream_state *upstream)
{
    const auto found = m_services.find(upstream->service);
    if (found != m_services.end()) {
        std::erase(found->second.all, upstream);
        std::erase(found->second.own, upstream);
    }
}

bool load_balancer::isUnreachable(const upstream_state &upstream, millis now) const
{
    return upstream.unresponsive || now - upstream.unreachableAt < m_tuning.unreachablePenalty;
}

/// @return the calls at an upstream, including one more, as a share of its limit.
double load_balancer::load(const upstream_state &upstream)
{
    const double pending = std::max(upstream.reportedPending, upstream.outstanding) + 1;
    // While the limit of an upstream is unknown, only the calls sent from here count: it appears idle if it was never called.
    return upstream.limit > 0 ? pending / upstream.limit : upstream.outstanding;
}

/// @return the factor on the cost of upstreams in other failure domains: it falls to 1 as the upstreams of the own domain fill up.
/// @param own the best candidate of the own domain; nullptr if there is none
double load_balancer::domainFactor(const upstream_state *own) const
{
    if (!own || own->limit == 0) {
        return m_tuning.crossDomainFactor;
    }
    const double fadeSpan = m_tuning.crossDomainFadeEnd - m_tuning.crossDomainFadeStart;
    const double share = std::clamp((m_tuning.crossDomainFadeEnd - load(*own)) / fadeSpan, 0.0, 1.0);
    return 1 + (m_tuning.crossDomainFactor - 1) * share;
}

/// @return the expected time of a call at an upstream. Failures increase it, so that an upstream that fails fast does not attract load.
double load_balancer::cost(const upstream_state &upstream, const choice_criteria &criteria) const
{
    const bool isOwn = upstream.domain == m_ownDomain;
    const double roundTrip = isOwn ? 0 : m_tuning.crossDomainRoundTrip.count;
    const double domainFactor = isOwn ? 1 : criteria.domainFactor;
    const millis average = upstream.latency.count > 0 ? upstream.latency : upstream.group->latency;
    const double latency = std::max(average.count, 1.0) * (1 + load(upstream)) / std::max(upstream.successRate, m_tuning.successFloor);
    const bool refusedRecently = criteria.now - upstream.refusedAt < m_tuning.refusalPenalty;
    return latency * domainFactor * (refusedRecently ? 2 : 1) * (isUnreachable(upstream, criteria.now) ? unreachableFactor : 1) + roundTrip;
}

load_balancer::upstream_state *load_balancer::cheaper(upstream_state *left, upstream_state *right, const choice_criteria &criteria) const
{
    if (!left || !right) {
        return left ? left : right;
    }
    return cost(*right, criteria) < cost(*left, criteria) ? right : left;
}

/// Chooses the best of a few randomly sampled upstreams, so that the cost of a choice does not depend on the size of the service.
/// Unreachable upstreams are chosen only if there is no other.
load_balancer::upstream_state *load_balancer::chooseFrom(const std::vector<upstream_state *> &from, int count, const choice_criteria &criteria)
{
    upstream_state *best = nullptr;
    upstream_state *unreachable = nullptr;
    const std::size_t size = from.size();
    if (size == 0) {
        return nullptr;
    }
    const std::size_t start = m_random() % size;
    int compared = 0;
    // The second candidate lies a random stride after the first, so that they differ; the loop then visits each of the others once.
    const std::size_t stride = size > 1 ? 1 + m_random() % (size - 1) : 1;
    for (std::size_t step = 0; step < size && compared < count; ++step) {
        const std::size_t ahead = step <= 1 ? step * stride : (step <= stride ? step - 1 : step);
        const std::size_t index = (start + ahead) % size;
        auto *candidate = from[index];
        if (contains(criteria.avoid, candidate->node) || !hasRoom(*candidate, criteria.standing, criteria.now)) {
            continue;
        }
        if (isUnreachable(*candidate, criteria.now)) {
            unreachable = candidate;
            continue;
        }
        best = cheaper(best, candidate, criteria);
        ++compared;
    }
    return best ? best : unreachable;
}

bool load_balancer::hasRoom(const upstream_state &upstream, const call_standing &standing, millis now)
{
    const auto &shortage = upstream.shortages[standing.admitted ? 1 : 0];
    return now >= shortage.until || standing.importance > shortage.importance;
}

millis load_balancer::timeToRoom(const std::string &service, const call_standing &standing, millis now) const
{
    const auto found = m_services.find(service);
    std::optional<millis> shortest;
    if (found != m_services.end()) {
        for (const auto *upstream : found->second.all) {
            if (!hasRoom(*upstream, standing, now)) {
                const millis wait = upstream->shortages[standing.admitted ? 1 : 0].until - now;
                shortest = shortest ? std::min(*shortest, wait) : wait;
            }
        }
    }
    return shortest.value_or(millis{0});
}

void load_balancer::recordNoRoom(const node_id &node, const call_standing &standing, millis until, millis now)
{
    const auto found = m_upstreams.find(node);
    if (found == m_upstreams.end()) {
        return;
    }
    auto &shortage = found->second->shortages[standing.admitted ? 1 : 0];
    const bool lapsed = now >= shortage.until;
    shortage.importance = lapsed ? standing.importance : std::max(shortage.importance, standing.importance);
    shortage.until = lapsed ? until : std::max(shortage.until, until);
}

void load_balancer::recordCondition(const node_id &node, const upstream_condition &condition)
{
    const auto found = m_upstreams.find(node);
    if (found != m_upstreams.end()) {
        found->second->condition = condition;
    }
}

upstream_condition load_balancer::condition(const node_id &node) const
{
    const auto found = m_upstreams.find(node);
    return found == m_upstreams.end() ? upstream_condition() : found->second->condition;
}

node_id load_balancer::choose(const std::string &service, const std::vector<node_id> &avoid, millis now, const call_standing &standing)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return {};
    }
    choice_criteria criteria{avoid, standing, 1, now};
    auto *own = chooseFrom(found->second.own, m_tuning.candidatesOwn, criteria);
    criteria.domainFactor = domainFactor(own);
    auto *any = chooseFrom(found->second.all, m_tuning.candidatesAll, criteria);
    const auto *best = cheaper(own, any, criteria);
    return best ? best->node : node_id();
}

node_id load_balancer::chooseRoundRobin(const std::string &service, const std::vector<node_id> &avoid)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.all.empty()) {
        return {};
    }
    auto &group = found->second;
    for (std::size_t step = 0; step < group.all.size(); ++step) {
        const auto &node = group.all[group.nextRoundRobin++ % group.all.size()]->node;
        if (!contains(avoid, node)) {
            return node;
        }
    }
    return {};
}

void load_balancer::setUnresponsive(const node_id &node, bool unresponsive)
{
    const auto found = m_upstreams.find(node);
    if (found != m_upstreams.end()) {
        found->second->unresponsive = unresponsive;
    }
}

void load_balancer::sent(const node_id &node)
{
    const auto found = m_upstreams.find(node);
    if (found != m_upstreams.end()) {
        ++found->second->outstanding;
    }
}

void load_balancer::done(const node_id &node, bool answered, const response_sample &sample, millis now)
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
    if (sample.unreachable) {
        upstream.unreachableAt = now;
    }
    if (sample.limit > 0) {
        upstream.limit = sample.limit;
        upstream.reportedPending = sample.pending;
    }
    if (sample.rateLimited) {
        return;
    }
    if (sample.refused) {
        upstream.refusedAt = now;
        return;
    }
    upstream.successRate += ((sample.success ? 1.0 : 0.0) - upstream.successRate) * m_tuning.successBlend;
    if (sample.success) {
        updateAverage(upstream.latency, sample.latency, m_tuning.latencyBlend);
        updateAverage(upstream.group->latency, sample.latency, m_tuning.latencyBlend);
    }
}

std::size_t load_balancer::readyCount(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.all.size();
}

node_id load_balancer::nodeFor(const std::string &service, std::uint64_t key) const
{
    // Rendezvous hashing: when a node comes or goes, only its own keys change hands.
    const auto found = m_services.find(service);
    node_id best;
    std::uint64_t bestWeight = 0;
    if (found == m_services.end()) {
        return best;
    }
    for (const auto *upstream : found->second.all) {
        const auto weight = stableHash(upstream->node, key);
        if (best.empty() || weight > bestWeight || (weight == bestWeight && upstream->node < best)) {
            best = upstream->node;
            bestWeight = weight;
        }
    }
    return best;
}

bool load_balancer::serves(const node_id &node, const std::string &service) const
{
    const auto found = m_upstreams.find(node);
    return found != m_upstreams.end() && found->second->service == service;
}

millis load_balancer::latency(const node_id &node) const
{
    const auto found = m_upstreams.find(node);
    return found == m_upstreams.end() ? millis{0} : found->second->latency;
}

} // namespace turmericspar
