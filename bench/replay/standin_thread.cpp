#include "standin_thread.h"

#include <algorithm>
#include <iostream>

namespace turmericspar {

namespace {

constexpr millis eventTick{1};

} // namespace

standin_thread::standin_thread(const trace &plan, const std::vector<node_addresses> &nodes, endpoint platform, std::vector<relayed_place> relayed)
    : m_plan(plan), m_nodes(nodes), m_platform(std::move(platform)), m_relayed(std::move(relayed))
{
}

void standin_thread::start()
{
    m_thread = std::thread([this] { run(); });
}

std::vector<run_record> standin_thread::stop()
{
    m_stop = true;
    m_thread.join();
    return std::move(m_records);
}

void standin_thread::run()
{
    event_loop loop;
    store_standin platform(loop);
    if (!platform.listen(m_platform)) {
        std::cerr << "replay: the platform's stand-in can't listen on " << m_platform.text() << '\n';
    }
    relay ways(loop, m_plan.seed);
    for (const auto &place : m_relayed) {
        const auto carried = ways.carry(place);
        if (!carried) {
            std::cerr << "replay: " << carried.error().text() << '\n';
        }
    }
    upstream_list upstreams;
    for (std::size_t i = 0; i < m_plan.upstreams.size(); ++i) {
        upstreams.push_back(
            std::make_unique<upstream_standin>(loop, m_plan.upstreams[i].shape, m_nodes[i].upstream, m_nodes[i].callers, m_plan.seed * 7919 + i));
        if (m_plan.needsRelay()) {
            upstreams.back()->setFront([&ways](const endpoint &behind) {
                const auto front = ways.carry({{behind.ip, 0}, behind, storeDomain, storeDomain, false});
                return front ? *front : behind;
            });
        }
        upstreams.back()->start();
    }
    const stage on{platform, upstreams, ways};
    const auto ticker = loop.every(eventTick, [&] {
        if (m_stop) {
            loop.quit();
        }
        happen(on);
    });
    loop.run();
    for (auto &upstream : upstreams) {
        auto &records = upstream->records();
        m_records.insert(m_records.end(), records.begin(), records.end());
    }
}

/// Begins and ends the events that are due.
void standin_thread::happen(const stage &on)
{
    if (m_eventsFrom < 0) {
        return;
    }
    const millis now = monotonicNow() - millis{m_eventsFrom};
    if (m_state.empty()) {
        for (auto &upstream : on.upstreams) {
            upstream->beginCold();
        }
        m_state.resize(m_plan.events.size() + 1);
    }
    for (std::size_t i = 0; i < m_plan.events.size(); ++i) {
        const auto &event = m_plan.events[i];
        if (m_state[i] == 0 && now >= event.at) {
            m_state[i] = 1;
            apply(event, true, on);
        } else if (m_state[i] == 1 && event.until > event.at && now >= event.until) {
            m_state[i] = 2;
            apply(event, false, on);
        }
    }
}

void standin_thread::apply(const trace_event &event, bool begins, const stage &on)
{
    switch (event.kind) {
    case event_kind::store_down:
        on.platform.faults().down = begins;
        return;
    case event_kind::store_slow:
        on.platform.faults().delay = {begins ? event.factor : 0};
        return;
    case event_kind::lose_answers:
        on.platform.faults().loseAnswers = begins ? static_cast<int>(event.factor) : 0;
        return;
    case event_kind::silence:
        if (begins) {
            silence(event, on);
        }
        return;
    case event_kind::cut:
    case event_kind::delay:
    case event_kind::loss:
        applyToWays(event, begins, on.ways);
        return;
    default:
        break;
    }
    int number = 0;
    for (std::size_t i = 0; i < on.upstreams.size(); ++i) {
        if (m_plan.upstreams[i].shape.service != event.service) {
            continue;
        }
        if (event.index < 0 || event.index == number) {
            applyTo(event, begins, *on.upstreams[i]);
        }
        ++number;
    }
}

/// Lets open connections go silent: to the upstreams that the event names, or between its failure domain and others.
void standin_thread::silence(const trace_event &event, const stage &on) const
{
    std::vector<endpoint> behind;
    int number = 0;
    for (std::size_t i = 0; i < on.upstreams.size(); ++i) {
        if (m_plan.upstreams[i].shape.service == event.service && (event.index < 0 || event.index == number++)) {
            behind.push_back(on.upstreams[i]->address());
        }
    }
    const domain_number domain = m_plan.domainNumber(event.domain);
    on.ways.silence([&](domain_number near, domain_number far, const endpoint &target) {
        const bool toUpstream = std::find(behind.begin(), behind.end(), target) != behind.end();
        return toUpstream || (near != far && (near == domain || far == domain));
    });
}

/// Lets what passes between failure domains suffer, both ways or one.
void standin_thread::applyToWays(const trace_event &event, bool begins, relay &ways) const
{
    const auto names = m_plan.domains();
    const domain_number domain = m_plan.domainNumber(event.domain);
    const auto change = [&](way_fault &fault) {
        if (event.kind == event_kind::cut) {
            fault.cut = begins;
        } else if (event.kind == event_kind::delay) {
            fault.delay = {begins ? event.factor : 0};
        } else {
            fault.loss = begins ? event.factor : 0;
        }
    };
    for (domain_number other = 0; other < static_cast<domain_number>(names.size()); ++other) {
        if (other == domain || (!event.other.empty() && names[static_cast<std::size_t>(other)] != event.other)) {
            continue;
        }
        change(ways.way(domain, other));
        if (!event.oneWay) {
            change(ways.way(other, domain));
        }
    }
}

void standin_thread::applyTo(const trace_event &event, bool begins, upstream_standin &upstream)
{
    switch (event.kind) {
    case event_kind::slow:
        upstream.setSlowness(begins ? event.factor : 1);
        break;
    case event_kind::failing:
        upstream.setFailing(begins);
        break;
    case event_kind::crash:
        if (begins) {
            upstream.crash(event.until - event.at);
        }
        break;
    case event_kind::drain:
        upstream.setDraining(begins);
        break;
    case event_kind::undrain:
        upstream.setDraining(false);
        break;
    default:
        break;
    }
}

} // namespace turmericspar
