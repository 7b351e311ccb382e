#include "turmericspar/store/store_protocol.h"

#include "turmericspar/base/document.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace turmericspar {

namespace {

using nlohmann::json;

failure unavailable(const http_response &response)
{
    return {errc::unavailable, "call store", {}, "status " + std::to_string(response.status)};
}

/// The protocol of the Consul KV store.
class consul_protocol : public store_protocol
{
public:
    http_request list(const std::string &prefix, const std::string &continueAfter, read_freshness freshness) const override
    {
        (void)continueAfter; // Consul returns a listing in one page.
        return make("GET", "/v1/kv/" + prefix + "?recurse=true" + (freshness == read_freshness::allow_stale ? "&stale=true" : ""));
    }

    http_request watch(const std::string &prefix, std::uint64_t index, millis timeout) const override
    {
        const auto seconds = static_cast<int>(timeout / oneSecond);
        return make("GET", "/v1/kv/" + prefix + "?recurse=true&index=" + std::to_string(index) + "&wait=" + std::to_string(seconds) + "s");
    }

    http_request write(const std::string &key, const std::string &value, const write_options &options) const override
    {
        std::string target = "/v1/kv/" + key;
        if (!options.lease.empty()) {
            target += "?acquire=" + options.lease;
        } else if (options.conditional) {
            target += "?cas=" + std::to_string(options.index);
        }
        return make("PUT", target, value);
    }

    http_request remove(const std::string &key) const override { return make("DELETE", "/v1/kv/" + key); }

    http_request openLease(millis ttl) const override
    {
        const json body{{"TTL", std::to_string(static_cast<int>(ttl / oneSecond)) + "s"}, {"Behavior", "delete"}};
        return make("PUT", "/v1/session/create", body.dump());
    }

    http_request renewLease(const std::string &lease) const override { return make("PUT", "/v1/session/renew/" + lease); }

    result<store_listing> readListing(const http_response &response) const override
    {
        store_listing listing;
        const auto index = response.fields.get("X-Consul-Index");
        listing.index = std::strtoull(index.c_str(), nullptr, 10);
        if (response.status == 404) {
            return listing;
        }
        if (response.status != 200) {
            return unavailable(response);
        }
        const auto body = parseDocument(response.body);
        if (!body.is_array()) {
            return malformedResponse("the response is not a JSON array");
        }
        for (const auto &item : body) {
            if (!item.is_object() || !item.contains("Key") || !item["Key"].is_string() || !item.contains("ModifyIndex")
                || !item["ModifyIndex"].is_number_unsigned()) {
                return malformedResponse("an entry lacks Key or ModifyIndex");
            }
            const bool hasValue = item.contains("Value") && item["Value"].is_string();
            const auto value = hasValue ? fromBase64(item["Value"].get<std::string>()) : std::string();
            const auto lease = item.contains("Session") && item["Session"].is_string() ? item["Session"].get<std::string>() : std::string();
            listing.entries.push_back({item["Key"].get<std::string>(), value, item["ModifyIndex"].get<std::uint64_t>(), lease});
        }
        return listing;
    }

    result<store_listing> readWatch(const http_response &response) const override { return readListing(response); }

    write_result readWrite(const http_response &response) const override
    {
        if (response.status == 200) {
            // Writes and removals return whether they were applied; a renewal returns the lease.
            const bool refused = response.body.starts_with("false");
            return refused ? write_result{write_outcome::not_applied, {errc::conflict, "write store", {}, {}}} : write_result{write_outcome::applied, {}};
        }
        if (response.status == 429) {
            return {write_outcome::not_applied, {errc::rejected, "write store", {}, "rate limit"}};
        }
        if (response.status == 404) {
            return {write_outcome::not_applied, {errc::not_found, "write store", {}, "the lease has expired"}};
        }
        return {write_outcome::unknown, unavailable(response)};
    }

    result<std::string> readLease(const http_response &response) const override
    {
        const auto body = parseDocument(response.body);
        if (response.status == 200 && body.is_object() && body.contains("ID") && body["ID"].is_string()) {
            return body["ID"].get<std::string>();
        }
        return unavailable(response);
    }

private:
    static http_request make(std::string method, std::string target, std::string body = {})
    {
        http_request request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        return request;
    }
};

} // namespace

failure malformedResponse(const std::string &detail)
{
    return {errc::malformed_message, "read store", {}, detail};
}

std::string toBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3), '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (size < 0) {
        return {};
    }
    const auto padding = static_cast<std::size_t>(std::count(text.begin(), text.end(), '='));
    bytes.resize(static_cast<std::size_t>(size) - std::min<std::size_t>(padding, 2));
    return bytes;
}

std::unique_ptr<store_protocol> makeConsulProtocol()
{
    return std::make_unique<consul_protocol>();
}

} // namespace turmericspar
