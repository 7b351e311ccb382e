#include "turmericspar/platform/store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace turmericspar {

namespace {

using nlohmann::json;

constexpr std::size_t clientsKept = 4;
constexpr http_limits storeLimits{32 * 1024, 64 * 1024 * 1024};

/// What a watch may take beyond its span: the store adds a little of its own.
constexpr millis watchGrace{5000};

result<store_listing> parseListing(const http_response &response, const std::string &peer)
{
    store_listing listing;
    const auto index = response.fields.get("X-Consul-Index");
    listing.index = std::strtoull(index.c_str(), nullptr, 10);
    if (response.status == 404) {
        return listing;
    }
    if (response.status != 200) {
        return failure{errc::unavailable, "read store", peer, "status " + std::to_string(response.status)};
    }
    const auto body = json::parse(response.body, nullptr, false);
    if (!body.is_array()) {
        return failure{errc::malformed_message, "read store", peer, "the answer is no JSON list"};
    }
    for (const auto &item : body) {
        if (!item.is_object() || !item.contains("Key") || !item["Key"].is_string() || !item.contains("ModifyIndex")) {
            return failure{errc::malformed_message, "read store", peer, "an entry has no key"};
        }
        const bool hasValue = item.contains("Value") && item["Value"].is_string();
        const auto value = hasValue ? fromBase64(item["Value"].get<std::string>()) : std::string();
        listing.entries.push_back({item["Key"].get<std::string>(), value, item["ModifyIndex"].get<std::uint64_t>()});
    }
    return listing;
}

} // namespace

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

store::store(event_loop &loop, store_options options) : m_loop(loop), m_options(options) { }

store::~store() = default;

void store::call(http_request request, millis timeout, http_client::answer_handler done)
{
    ++m_calls;
    std::erase_if(m_clients, [](const auto &client) { return client->closed() && !client->busy(); });
    const auto idle = std::find_if(m_clients.begin(), m_clients.end(), [](const auto &client) { return client->open() && !client->busy(); });
    if (idle != m_clients.end()) {
        (*idle)->send(request, timeout, std::move(done));
        return;
    }
    auto made = std::make_unique<http_client>(m_loop, m_options.address, storeLimits);
    auto &client = *made;
    m_clients.push_back(std::move(made));
    client.connect(std::min(timeout, m_options.timeout), {});
    client.send(request, timeout, std::move(done));
}

void store::readListing(const std::string &target, millis timeout, listing_handler done)
{
    http_request request;
    request.target = target;
    call(std::move(request), timeout, [done = std::move(done), peer = m_options.address.text()](const http_outcome &outcome) {
        if (outcome.error) {
            done(failure{outcome.error, "read store", peer, {}});
        } else {
            done(parseListing(outcome.response, peer));
        }
    });
}

void store::list(const std::string &prefix, listing_handler done)
{
    readListing("/v1/kv/" + prefix + "?recurse=true", m_options.timeout, std::move(done));
}

void store::watch(const std::string &prefix, std::uint64_t index, listing_handler done)
{
    const auto seconds = static_cast<int>(m_options.watchSpan / oneSecond);
    const auto target = "/v1/kv/" + prefix + "?recurse=true&index=" + std::to_string(index) + "&wait=" + std::to_string(seconds) + "s";
    readListing(target, m_options.watchSpan + watchGrace, std::move(done));
}

void store::createIfAbsent(const std::string &key, const std::string &value, write_handler done)
{
    compareAndSwap(key, 0, value, std::move(done));
}

void store::compareAndSwap(const std::string &key, std::uint64_t index, const std::string &value, write_handler done)
{
    write("/v1/kv/" + key + "?cas=" + std::to_string(index), value, std::move(done));
}

void store::remove(const std::string &key, write_handler done)
{
    http_request request;
    request.method = "DELETE";
    request.target = "/v1/kv/" + key;
    call(std::move(request), m_options.timeout, [done = std::move(done), peer = m_options.address.text()](const http_outcome &outcome) {
        const bool removed = !outcome.error && outcome.response.status == 200;
        done({removed ? write_effect::took_effect : write_effect::not_known, {outcome.error, "remove from store", peer, {}}});
    });
}

void store::openLease(millis span, std::function<void(result<std::string>)> done)
{
    http_request request;
    request.method = "PUT";
    request.target = "/v1/session/create";
    request.body = json{{"TTL", std::to_string(static_cast<int>(span / oneSecond)) + "s"}, {"Behavior", "delete"}}.dump();
    call(std::move(request), m_options.timeout, [done = std::move(done), peer = m_options.address.text()](const http_outcome &outcome) {
        const auto body = outcome.error ? json() : json::parse(outcome.response.body, nullptr, false);
        if (body.is_object() && body.contains("ID") && body["ID"].is_string()) {
            done(body["ID"].get<std::string>());
        } else {
            done(failure{outcome.error ? outcome.error : make_error_code(errc::unavailable), "open lease", peer, {}});
        }
    });
}

void store::renewLease(const std::string &lease, write_handler done)
{
    http_request request;
    request.method = "PUT";
    request.target = "/v1/session/renew/" + lease;
    call(std::move(request), m_options.timeout, [done = std::move(done), peer = m_options.address.text()](const http_outcome &outcome) {
        write_result result{write_effect::not_known, {outcome.error, "renew lease", peer, {}}};
        if (!outcome.error && outcome.response.status == 200) {
            result.effect = write_effect::took_effect;
        } else if (!outcome.error && outcome.response.status == 404) {
            result = {write_effect::did_not, {errc::not_found, "renew lease", peer, "the lease has lapsed"}};
        }
        done(result);
    });
}

void store::holdKey(const std::string &key, const std::string &value, const std::string &lease, write_handler done)
{
    write("/v1/kv/" + key + "?acquire=" + lease, value, std::move(done));
}

void store::write(const std::string &target, const std::string &value, write_handler done)
{
    http_request request;
    request.method = "PUT";
    request.target = target;
    request.body = value;
    call(std::move(request), m_options.timeout, [done = std::move(done), peer = m_options.address.text()](const http_outcome &outcome) {
        write_result result;
        if (outcome.error) {
            result.effect = outcome.sent ? write_effect::not_known : write_effect::did_not;
            result.error = {outcome.error, "write store", peer, {}};
        } else if (outcome.response.status == 200 && outcome.response.body.starts_with("true")) {
            result.effect = write_effect::took_effect;
        } else if (outcome.response.status == 200) {
            result.effect = write_effect::did_not;
            result.error = {errc::conflict, "write store", peer, {}};
        } else if (outcome.response.status == 429) {
            result.effect = write_effect::did_not;
            result.error = {errc::rejected, "write store", peer, "rate limit"};
        } else {
            result.effect = write_effect::not_known;
            result.error = {errc::unavailable, "write store", peer, "status " + std::to_string(outcome.response.status)};
        }
        done(result);
    });
}

} // namespace turmericspar
