/// @file link_security.h
/// TLS 1.3 with the deployment's shared keys as pre-shared keys, for the links between nodes.
#pragma once

#include "turmericspar/base/secret.h"

#include <memory>
#include <string>
#include <vector>

struct ssl_ctx_st;
struct ssl_st;

namespace turmericspar {

/// Creates the TLS objects of links. A handshake succeeds only between nodes that share a key; certificates are not used.
class link_security
{
public:
    /// @param keys the accepted keys; at least one
    explicit link_security(const key_ring &keys);

    /// @return the server side of a connection, which accepts every key of the ring; owned by the caller.
    ssl_st *newServerSsl();
    /// @return the client side of a connection, which uses one key of the ring; owned by the caller.
    /// @param attempt number of the attempt to connect to a node; selects the key, modulo the size of the ring
    ssl_st *newClientSsl(std::size_t attempt);

private:
    struct link_key
    {
        std::string identity; ///< a fingerprint of the key
        derived_key secret;
    };

    std::unique_ptr<ssl_ctx_st, void (*)(ssl_ctx_st *)> m_context;
    std::vector<link_key> m_keys;
    friend struct psk_callbacks;
};

} // namespace turmericspar
