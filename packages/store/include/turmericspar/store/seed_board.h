/// @file seed_board.h
/// Seeds in the platform's store: a few nodes of each failure domain post their addresses under leases, so that a node that
/// starts finds somebody to ask.
#pragma once

#include "turmericspar/store/store.h"

#include <functional>
#include <string>
#include <vector>

namespace turmericspar {

/// A node that posted itself.
struct posted_seed
{
    std::string domain;
    std::string node;
    bool operator==(const posted_seed &) const = default;
};

/// Posts this node's address while it is chosen to, and reads what others posted.
class seed_board
{
public:
    using seeds_handler = std::function<void(std::vector<posted_seed>)>;

    /// @param prefix keys of the deployment begin with it
    seed_board(event_loop &loop, store &access, const std::string &prefix, const std::string &domain, std::string node);

    /// Starts or ends posting. A posted address goes by itself when its lease is not renewed.
    void setPosting(bool posting);
    /// Reads all posted addresses; tells none if the store can't be reached.
    void read(read_freshness freshness, seeds_handler done);

private:
    void keepPosted();
    void post();

    store &m_store;
    std::string m_prefix;
    std::string m_key;
    std::string m_node;
    std::string m_lease; ///< empty while there is none
    bool m_posting = false;
    bool m_busy = false;
    event_watcher_ptr m_renewal;
};

} // namespace turmericspar
