/// @file interface_profile.h
/// How a node speaks with callers, its upstream, operators and the store: everything that differs between deployments.
#pragma once

#include "turmericspar/caller/call_fields.h"
#include "turmericspar/store/document_watch.h"
#include "turmericspar/store/store_protocol.h"
#include "turmericspar/upstream/announcement.h"

#include <cstdint>
#include <memory>
#include <string>

namespace turmericspar {

/// One way to speak with all peers outside the system.
struct interface_profile
{
    call_dialect calls;
    notice_reader readNotice = turmericspar::readNotice;
    std::string readinessPath = "/readyz";
    std::unique_ptr<store_protocol> (*makeStoreForm)() = makeConsulProtocol;
    document_location operatorsDocument; ///< without a key, operators submit patches to nodes

    /// @return whether the operators keep the document, and none is known at this version.
    bool lacksDocument(std::uint64_t version) const { return !operatorsDocument.key.empty() && version == 0; }
};

} // namespace turmericspar
