/// @file store_standin.h
/// A small stand-in for the platform's key-value service, with faults that tests switch on.
#pragma once

#include "turmericspar/base/http_server.h"
#include "turmericspar/policy/token_bucket.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace turmericspar {

/// What can go wrong with the store.
struct store_faults
{
    bool down = false; ///< every connection is cut
    millis delay{0}; ///< before each answer
    int loseAnswers = 0; ///< so many next writes take effect, but their answers are lost
};

/// Counts of the store.
struct store_counts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t refused = 0; ///< for the rate limits
};

/// Keys with compare-and-swap, leases and watches, behind the HTTP interface of the Consul KV store.
class store_standin
{
public:
    explicit store_standin(event_loop &loop);

    result<endpoint> listen(const endpoint &address) { return m_server.listen(address); }
    store_faults &faults() { return m_faults; }
    const store_counts &counts() const { return m_counts; }
    std::size_t keyCount() const { return m_entries.size(); }
    /// Ends a lease as if its holder had not renewed it.
    void expireLease(const std::string &id);

private:
    struct entry
    {
        std::string value;
        std::uint64_t index = 0;
        std::string lease;
    };
    struct waiting_watch
    {
        http_exchange_ptr exchange;
        std::string prefix;
        std::uint64_t index = 0;
        event_watcher_ptr timer;
        bool done = false;
    };

    void answer(const http_exchange_ptr &exchange);
    void dispatch(const http_exchange_ptr &exchange);
    void read(const http_exchange_ptr &exchange, const std::string &key);
    void write(const http_exchange_ptr &exchange, const std::string &key);
    void session(const http_exchange_ptr &exchange, const std::string &path);
    void respondLater(const http_exchange_ptr &exchange, const http_response &response);
    void wake();
    http_response listing(const std::string &prefix) const;
    std::uint64_t prefixIndex(const std::string &prefix) const;

    event_loop &m_loop;
    store_faults m_faults;
    store_counts m_counts;
    token_bucket m_readLimit;
    token_bucket m_writeLimit;
    std::uint64_t m_index = 1;
    std::uint64_t m_nextLease = 1;
    std::map<std::string, entry> m_entries;
    std::map<std::string, event_watcher_ptr> m_leases;
    std::map<std::string, millis> m_leaseSpans;
    std::list<waiting_watch> m_watches;
    std::list<event_watcher_ptr> m_delayed;
    std::vector<http_exchange_ptr> m_lost; ///< exchanges that will never be answered
    http_server m_server;
};

} // namespace turmericspar
