/// @file interface_profile.h
/// The interfaces of a node towards callers, its upstream, operators and the store, as far as they differ between deployments.
#pragma once

#include "turmericspar/caller/call_fields.h"
#include "turmericspar/store/document_watch.h"
#include "turmericspar/store/store_protocol.h"
#include "turmericspar/upstream/announcement.h"

#include <cstdint>
#include <memory>
#include <string>

namespace turmericspar {

/// The formats and protocols that a node uses with everything outside the system.
struct interface_profile
{
    call_dialect calls;
    notice_reader readNotice = turmericspar::readNotice;
    bool drainingIsFinal = false; ///< see announcement_options
    std::string readinessPath = "/readyz";
    std::unique_ptr<store_protocol> (*makeStoreForm)() = makeConsulProtocol;
    document_location configurationDocument; ///< where operators keep the configuration in the store; if it has no key, they submit patches to nodes instead

    /// @return whether the configuration is kept in the store and none has been read yet.
    /// @param version the configuration version in force
    bool lacksConfiguration(std::uint64_t version) const { return !configurationDocument.key.empty() && version == 0; }
};

} // namespace turmericspar
