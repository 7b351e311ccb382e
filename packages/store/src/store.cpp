#include "turmericspar/store/store.h"

#include "turmericspar/base/log.h"

#include <algorithm>

namespace turmericspar {

namespace {

constexpr http_limits storeLimits{32 * 1024, 64 * 1024 * 1024};

/// Extra time that a watch may take: the store adds a small delay to the requested timeout.
constexpr millis watchMargin{2000};

/// Number of entries at which a listing ends, so that a store that always announces another page can't block a node.
constexpr std::size_t entriesMax = 100'000;

} // namespace

store::store(event_loop &loop, store_options options, std::unique_ptr<store_protocol> protocol)
    : m_loop(loop), m_options(std::move(options)), m_protocol(std::move(protocol))
{
}

store::~store() = default;

/// Sends a call on an idle connection, or on a new one.
void store::call(http_request request, const char *step, millis timeout, answer_handler done)
{
    ++m_calls;
    const auto answered = [this, done = std::move(done), step, epochAtStart = m_epoch, peer = m_options.address.text()](const http_outcome &outcome) {
        if (outcome.error) {
            done(failure{outcome.error, step, peer, outcome.sent ? "the call was sent" : ""});
            if (outcome.error == errc::timeout && outcome.sent) {
                m_loop.defer([this] { handleSilence(); });
            }
        } else {
            handleResponse(outcome.response, epochAtStart, step, done);
        }
    };
    std::erase_if(m_clients, [](const auto &client) { return client->closed() && !client->busy(); });
    const auto idle = std::find_if(m_clients.begin(), m_clients.end(), [](const auto &client) { return client->open() && !client->busy(); });
    if (idle != m_clients.end()) {
        (*idle)->send(request, timeout, answered);
        return;
    }
    auto made = std::make_unique<http_client>(m_loop, m_options.address, storeLimits);
    auto &client = *made;
    m_clients.push_back(std::move(made));
    client.connect(std::min(timeout, m_options.timeout), {});
    client.send(request, timeout, answered);
}

void store::handleSilence()
{
    std::erase_if(m_clients, [](const auto &client) { return !client->busy(); });
    for (const auto &handler : m_silenceHandlers) {
        handler();
    }
}

failure store::restoredMeanwhile(const char *step) const
{
    return {errc::unavailable, step, m_options.address.text(), "the store was restored meanwhile"};
}

/// Passes an answer on, unless a restore has overtaken it, and reports a restore that it shows.
/// @param epochAtStart the epoch that was known when the call was made
void store::handleResponse(const http_response &response, std::optional<std::uint64_t> epochAtStart, const char *step, const answer_handler &done)
{
    // Step 1. An answer from an earlier epoch describes a state that is lost
    auto stated = m_protocol->readEpoch(response);
    if (!stated && !m_epoch) {
        stated = m_protocol->epochBeforeStatement();
    }
    const bool changed = stated && m_epoch && stated != m_epoch;
    if (changed && *stated < *m_epoch && epochAtStart != m_epoch) {
        done(restoredMeanwhile(step));
        return;
    }

    // Step 2. Note the epoch
    if (changed) {
        m_restores += *stated > *m_epoch ? *stated - *m_epoch : 1;
        logEvent(log_level::warning, "store_restored", {{"peer", m_options.address.text()}, {"epoch", *stated}, {"previous_epoch", *m_epoch}});
    }
    m_epoch = stated ? stated : m_epoch;
    done(response);
    if (changed) {
        for (const auto &handler : m_restoreHandlers) {
            handler();
        }
    }
}

void store::list(const std::string &prefix, listing_handler done, read_freshness freshness)
{
    listPage(prefix, freshness, {}, std::move(done));
}

/// Reads the next page of a listing.
void store::listPage(const std::string &prefix, read_freshness freshness, store_listing previous, listing_handler done)
{
    auto request = m_protocol->list(prefix, previous.continueAfter, freshness);
    const auto listed = [this, prefix, freshness, previous, epochAtStart = m_epoch, done = std::move(done)](const result<http_response> &answer) {
        if (!answer) {
            done(answer.error());
            return;
        }
        if (!previous.continueAfter.empty() && epochAtStart != m_epoch) {
            done(restoredMeanwhile("list store"));
            return;
        }
        auto page = m_protocol->readListing(*answer);
        if (!page) {
            done(page.error());
            return;
        }
        // The index of the first page is kept, so that a watch from it reports changes made while the other pages are read.
        store_listing merged = previous;
        merged.index = previous.continueAfter.empty() ? page->index : previous.index;
        merged.continueAfter = page->continueAfter;
        merged.entries.insert(merged.entries.end(), page->entries.begin(), page->entries.end());
        if (merged.continueAfter.empty() || merged.entries.size() > entriesMax) {
            done(std::move(merged));
        } else {
            listPage(prefix, freshness, std::move(merged), done);
        }
    };
    call(std::move(request), "list store", m_options.timeout, listed);
}

void store::watch(const std::string &prefix, std::uint64_t index, listing_handler done)
{
    auto request = m_protocol->watch(prefix, index, m_options.watchTimeout);
    call(std::move(request), "watch store", m_options.watchTimeout + watchMargin, [this, done = std::move(done)](const result<http_response> &answer) {
        if (answer) {
            done(m_protocol->readWatch(*answer));
        } else {
            done(answer.error());
        }
    });
}

void store::createIfAbsent(const std::string &key, const std::string &value, write_handler done)
{
    compareAndSwap(key, 0, value, std::move(done));
}

void store::compareAndSwap(const std::string &key, std::uint64_t index, const std::string &value, write_handler done)
{
    write(m_protocol->write(key, value, {true, index, {}}), "write store", std::move(done));
}

void store::remove(const std::string &key, write_handler done)
{
    write(m_protocol->remove(key), "remove from store", std::move(done));
}

void store::openLease(millis ttl, std::function<void(result<std::string>)> done)
{
    call(m_protocol->openLease(ttl), "open lease", m_options.timeout, [this, done = std::move(done)](const result<http_response> &answer) {
        if (answer) {
            done(m_protocol->readLease(*answer));
        } else {
            done(answer.error());
        }
    });
}

void store::renewLease(const std::string &lease, write_handler done)
{
    write(m_protocol->renewLease(lease), "renew lease", std::move(done));
}

void store::putUnderLease(const std::string &key, const std::string &value, const std::string &lease, write_handler done)
{
    write(m_protocol->write(key, value, {false, 0, lease}), "write key under lease", std::move(done));
}

void store::write(http_request request, const char *step, write_handler done)
{
    call(std::move(request), step, m_options.timeout, [this, done = std::move(done)](const result<http_response> &answer) {
        if (answer) {
            done(m_protocol->readWrite(*answer));
        } else {
            done({answer.error().detail.empty() ? write_outcome::not_applied : write_outcome::unknown, answer.error()});
        }
    });
}

} // namespace turmericspar
