#include "turmericspar/base/secret.h"

#include <fstream>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <sstream>
#include <sys/stat.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace turmericspar {

namespace {

constexpr std::size_t keyBytesMin = 32;
constexpr std::size_t keyBytesMax = 4096;
constexpr mode_t openPermissions = S_IROTH | S_IWOTH | S_IWGRP;

std::string hmacSha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data(), &size);
    return {reinterpret_cast<const char *>(digest.data()), size};
}

} // namespace

shared_key::shared_key(std::string material) : m_material(std::move(material)) { }

result<shared_key> shared_key::read(const std::string &path)
{
    const auto invalidFile = [&](const std::string &detail) { return failure{errc::invalid_settings, "read key file", path, detail}; };
    struct stat status;
    if (stat(path.c_str(), &status) != 0) {
        return invalidFile("the file can't be read");
    }
    if ((status.st_mode & openPermissions) != 0) {
        return invalidFile("the file is open to other users; use mode 0600 or 0640");
    }
    std::ifstream file(path, std::ios::binary);
    std::stringstream content;
    content << file.rdbuf();
    std::string material = content.str();
    while (!material.empty() && (material.back() == '\n' || material.back() == '\r')) {
        material.pop_back();
    }
    if (!file || material.size() < keyBytesMin || material.size() > keyBytesMax) {
        return invalidFile("the key must have 32 to 4096 bytes");
    }
    return shared_key(material);
}

derived_key shared_key::derive(std::string_view label) const
{
    const auto digest = hmacSha256(m_material, label);
    derived_key key;
    std::copy(digest.begin(), digest.end(), key.begin());
    return key;
}

std::string shared_key::operatorToken() const
{
    const auto key = derive("operators");
    return toHex({reinterpret_cast<const char *>(key.data()), key.size()});
}

std::string authenticationCode(const derived_key &key, std::string_view data)
{
    return hmacSha256({reinterpret_cast<const char *>(key.data()), key.size()}, data);
}

bool equalsInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += digits[byte / digits.size()];
        text += digits[byte % digits.size()];
    }
    return text;
}

std::string randomBytes(std::size_t size)
{
    std::string bytes(size, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(size));
    return bytes;
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace turmericspar
