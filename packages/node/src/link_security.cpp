#include "link_security.h"

#include <algorithm>
#include <cstring>
#include <openssl/ssl.h>

namespace turmericspar {

namespace {

/// TLS_AES_128_GCM_SHA256. A pre-shared key is bound to the hash of its cipher suite (RFC 8446, section 4.2.11).
constexpr std::array<unsigned char, 2> cipherId{0x13, 0x01};
constexpr const char *cipherName = "TLS_AES_128_GCM_SHA256";

} // namespace

/// Callbacks that OpenSSL calls during a handshake.
struct psk_callbacks
{
    /// @return a session that holds a pre-shared key; owned by the caller.
    static SSL_SESSION *makeSession(SSL *ssl, const derived_key &secret)
    {
        SSL_SESSION *session = SSL_SESSION_new();
        SSL_SESSION_set1_master_key(session, secret.data(), secret.size());
        SSL_SESSION_set_cipher(session, SSL_CIPHER_find(ssl, cipherId.data()));
        SSL_SESSION_set_protocol_version(session, TLS1_3_VERSION);
        return session;
    }

    /// Client side: supplies the identity and the session of the selected key.
    static int selectClientSession(SSL *ssl, const EVP_MD *, const unsigned char **identity, std::size_t *size, SSL_SESSION **session)
    {
        const auto *key = static_cast<const link_security::link_key *>(SSL_get_app_data(ssl));
        *identity = reinterpret_cast<const unsigned char *>(key->identity.data());
        *size = key->identity.size();
        *session = makeSession(ssl, key->secret);
        return 1;
    }

    /// Server side: looks up the key by the identity that the client sent.
    static int findServerSession(SSL *ssl, const unsigned char *identity, std::size_t size, SSL_SESSION **session)
    {
        const auto *security = static_cast<const link_security *>(SSL_CTX_get_app_data(SSL_get_SSL_CTX(ssl)));
        const std::string_view requestedIdentity(reinterpret_cast<const char *>(identity), size);
        const auto &keys = security->m_keys;
        const auto found = std::find_if(keys.begin(), keys.end(), [&](const auto &key) { return key.identity == requestedIdentity; });
        // Without a session the handshake fails, since there is no certificate to fall back on.
        *session = found == keys.end() ? nullptr : makeSession(ssl, found->secret);
        return 1;
    }
};

link_security::link_security(const key_ring &keys) : m_context(SSL_CTX_new(TLS_method()), SSL_CTX_free)
{
    for (const auto &key : keys) {
        const auto fingerprint = key.derive("fingerprint of the key of links");
        m_keys.push_back({toHex({reinterpret_cast<const char *>(fingerprint.data()), fingerprint.size()}), key.derive("links between nodes")});
    }
    SSL_CTX_set_min_proto_version(m_context.get(), TLS1_3_VERSION);
    SSL_CTX_set_ciphersuites(m_context.get(), cipherName);
    SSL_CTX_set_num_tickets(m_context.get(), 0);
    SSL_CTX_set_app_data(m_context.get(), this);
    SSL_CTX_set_psk_use_session_callback(m_context.get(), psk_callbacks::selectClientSession);
    SSL_CTX_set_psk_find_session_callback(m_context.get(), psk_callbacks::findServerSession);
}

ssl_st *link_security::newServerSsl()
{
    return SSL_new(m_context.get());
}

ssl_st *link_security::newClientSsl(std::size_t attempt)
{
    SSL *ssl = SSL_new(m_context.get());
    SSL_set_app_data(ssl, &m_keys[attempt % m_keys.size()]);
    return ssl;
}

} // namespace turmericspar
