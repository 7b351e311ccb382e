/// @file announcement.h
/// What an upstream says of itself to its node: who it is, its size, its load, and that it drains.
#pragma once

#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/base/http_server.h"
#include "turmericspar/upstream/announcement_order.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace turmericspar {

/// One announcement, repeated by the upstream every few seconds.
struct announcement
{
    std::string instance; ///< names one life of the upstream; empty if it does not say
    std::optional<std::uint64_t> startedAt; ///< when this life began, by the upstream's wall clock, in milliseconds since the epoch
    std::optional<std::uint64_t> sequence; ///< grows with each announcement of one life
    std::string service;
    endpoint address; ///< where it takes calls
    int slots = 1; ///< calls that it runs at once
    std::optional<int> connections; ///< connections that it accepts; else the configuration tells
    bool cold = false; ///< whether it has just started
    bool draining = false; ///< whether it takes no new work
    std::optional<double> load; ///< its own idea of its load, 0 to 1; a hint only
};

/// Reads an announcement from its JSON text.
result<announcement> parseAnnouncement(const std::string &text);

/// What an upstream said in one message.
struct upstream_notice
{
    enum class kind {
        announced,
        left, ///< it takes no new work, and is about to end
    };
    kind what = kind::announced;
    announcement said; ///< of one that left, only the instance counts
};

/// Reads a message of the upstream. A failure of `not_found` means that the request is none.
using notice_reader = std::function<result<upstream_notice>(const http_request &)>;

/// Reads messages in the system's own form: PUT and DELETE of /announcement.
result<upstream_notice> readNotice(const http_request &request);

/// Bounds of the listening socket for the upstream.
struct announcement_options
{
    endpoint listen;
    millis life{6000}; ///< an upstream that was silent for so long is gone
};

/// Listens for the upstream's announcements. It tells of every announcement, and of the upstream's silence.
class announcement_server
{
public:
    using announced_handler = std::function<void(const announcement &)>;
    using gone_handler = std::function<void(const std::string &reason)>;

    announcement_server(event_loop &loop, announcement_options options, notice_reader reader, announced_handler onAnnounced, gone_handler onGone);

    result<endpoint> listen() { return m_server.listen(m_options.listen); }

private:
    void answer(const http_exchange_ptr &exchange);
    void gone(const std::string &reason);

    announcement_options m_options;
    notice_reader m_reader;
    announcement_order m_order;
    announced_handler m_onAnnounced;
    gone_handler m_onGone;
    http_server m_server;
    event_watcher_ptr m_silence;
    bool m_present = false;
};

} // namespace turmericspar
