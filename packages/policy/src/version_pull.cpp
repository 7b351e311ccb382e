#include "turmericspar/policy/version_pull.h"

namespace turmericspar {

void version_pull::recordVersion(const node_id &from, bool ownDomain, std::uint64_t version, std::uint64_t inForce, millis now)
{
    if (version <= inForce) {
        return;
    }
    if (!ownDomain && m_remoteSource.version <= inForce) {
        m_remoteSince = now;
    }
    auto &known = ownDomain ? m_ownDomainSource : m_remoteSource;
    if (version >= known.version || known.version <= inForce) {
        known = {from, version};
    }
}

std::optional<node_id> version_pull::nextSource(std::uint64_t inForce, bool alone, millis now)
{
    const bool waited = alone || now - m_remoteSince >= m_tuning.ownDomainWait;
    auto *chosen = m_ownDomainSource.version > inForce ? &m_ownDomainSource : m_remoteSource.version > inForce && waited ? &m_remoteSource : nullptr;
    if (!chosen || (chosen->version <= m_pulledVersion && now - m_pulledAt < m_tuning.pullInterval)) {
        return std::nullopt;
    }
    m_pulledVersion = chosen->version;
    m_pulledAt = now;
    // If this node does not answer, it is asked again only after another recordVersion() for it.
    const auto node = chosen->node;
    *chosen = {};
    return node;
}

} // namespace turmericspar
