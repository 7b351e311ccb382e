/// @file announcement.h
/// Announcements by which an upstream reports its service, address, capacity, load and draining state to its node.
#pragma once

#include "turmericspar/base/endpoint.h"
#include "turmericspar/base/event_loop.h"
#include "turmericspar/base/http_server.h"
#include "turmericspar/upstream/announcement_order.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace turmericspar {

/// One announcement, repeated by the upstream every few seconds.
struct announcement
{
    std::string instance; ///< identifies one run of the upstream process; empty if the upstream sends none
    std::optional<std::uint64_t> startedAt; ///< start of this run by the upstream's wall clock, in milliseconds since the epoch
    std::optional<std::uint64_t> sequence; ///< increases with each announcement of one run
    std::string service;
    endpoint address; ///< address on which it accepts calls
    int slots = 1; ///< calls that it runs concurrently
    std::optional<int> connections; ///< connections that it accepts; if absent, the configuration applies
    bool cold = false; ///< whether it is still warming up after its start
    bool draining = false; ///< whether it accepts no new calls
    std::optional<double> load; ///< its self-reported load from 0 to 1; only a hint
};

/// Parses an announcement from JSON.
result<announcement> parseAnnouncement(const std::string &text);

/// One message of an upstream.
struct upstream_notice
{
    enum class kind {
        announced,
        deregistered, ///< it accepts no new calls and is about to exit
    };
    kind type = kind::announced;
    announcement content; ///< a deregistration sets at most the instance and its start time
};

/// Parses a request as a message of the upstream; fails with `not_found` if it is none.
using notice_reader = std::function<result<upstream_notice>(const http_request &)>;

/// Parses messages in the native format: PUT and DELETE on /announcement.
result<upstream_notice> readNotice(const http_request &request);

/// Options of the announcement server.
struct announcement_options
{
    endpoint listen;
    millis timeout{6000}; ///< an upstream that sends no announcement for this long is considered gone
    std::function<bool(const std::string &service)> knowsService; ///< whether the configuration in force names a service; unset if any may be announced
    millis recordTimeout{400}; ///< after which a deregistration is acknowledged though its record is not confirmed: upstreams wait for a second
    bool drainingIsFinal = false; ///< whether an upstream that announces that it drains never takes work again, so that this is recorded like a departure
};

/// Receives the upstream's announcements. Reports each announcement, and the loss of the upstream when it deregisters or times out.
/// A deregistration is acknowledged once its run is recorded outside this process, so that a restart of the node does not undo it.
class announcement_server
{
public:
    using announcement_handler = std::function<void(const announcement &)>;
    using loss_handler = std::function<void(const std::string &reason)>;
    /// Records that a run has deregistered, and calls `recorded` when that would survive this process.
    using departure_handler = std::function<void(const upstream_run &departed, std::function<void()> recorded)>;

    announcement_server(event_loop &loop,
                        announcement_options options,
                        notice_reader reader,
                        announcement_handler onAnnouncement,
                        loss_handler onUpstreamLost,
                        departure_handler onDeparture);

    result<endpoint> listen() { return m_server.listen(m_options.listen); }
    /// Applies a departure that an earlier process of this node has acknowledged.
    void recordDeparture(const upstream_run &departed);

private:
    void handleRequest(const http_exchange_ptr &exchange);
    bool namesOtherService(const announcement &content) const;
    bool ignoresOddNotice(const upstream_notice &notice) const;
    void deregister(const http_exchange_ptr &exchange, const announcement &content);
    void acknowledgeOnceRecorded(const http_exchange_ptr &exchange, const upstream_run &departed);
    void acknowledge(std::uint64_t record, const http_exchange_ptr &exchange);
    void reportLost(const std::string &reason);

    event_loop &m_loop;
    announcement_options m_options;
    notice_reader m_reader;
    announcement_order m_order;
    announcement_handler m_onAnnouncement;
    loss_handler m_onUpstreamLost;
    departure_handler m_onDeparture;
    http_server m_server;
    event_watcher_ptr m_timeoutTimer;
    std::string m_service; ///< of the last announcement that was accepted
    bool m_isPresent = false;
    upstream_run m_drainingRun; ///< the last one that was recorded because it drains
    std::uint64_t m_nextRecord = 1;
    std::map<std::uint64_t, event_watcher_ptr> m_pendingRecords; ///< deregistrations that are not acknowledged yet, with the end of the time for that
};

} // namespace turmericspar
