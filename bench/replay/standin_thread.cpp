#include "standin_thread.h"

#include <iostream>

namespace turmericspar {

namespace {

constexpr millis eventTick{1};

} // namespace

standin_thread::standin_thread(const trace &plan, const std::vector<node_addresses> &nodes, endpoint platform)
    : m_plan(plan), m_nodes(nodes), m_platform(std::move(platform))
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
    upstream_list upstreams;
    for (std::size_t i = 0; i < m_plan.upstreams.size(); ++i) {
        upstreams.push_back(
            std::make_unique<upstream_standin>(loop, m_plan.upstreams[i].shape, m_nodes[i].upstream, m_nodes[i].callers, m_plan.seed * 7919 + i));
        upstreams.back()->start();
    }
    const auto ticker = loop.every(eventTick, [&] {
        if (m_stop) {
            loop.quit();
        }
        happen(platform, upstreams);
    });
    loop.run();
    for (auto &upstream : upstreams) {
        auto &records = upstream->records();
        m_records.insert(m_records.end(), records.begin(), records.end());
    }
}

/// Begins and ends the events that are due.
void standin_thread::happen(store_standin &platform, upstream_list &upstreams)
{
    if (m_eventsFrom < 0) {
        return;
    }
    const millis now = monotonicNow() - millis{m_eventsFrom};
    if (m_state.empty()) {
        for (auto &upstream : upstreams) {
            upstream->beginCold();
        }
        m_state.resize(m_plan.events.size() + 1);
    }
    for (std::size_t i = 0; i < m_plan.events.size(); ++i) {
        const auto &event = m_plan.events[i];
        if (m_state[i] == 0 && now >= event.at) {
            m_state[i] = 1;
            apply(event, true, platform, upstreams);
        } else if (m_state[i] == 1 && event.until > event.at && now >= event.until) {
            m_state[i] = 2;
            apply(event, false, platform, upstreams);
        }
    }
}

void standin_thread::apply(const trace_event &event, bool begins, store_standin &platform, upstream_list &upstreams)
{
    switch (event.kind) {
    case event_kind::store_down:
        platform.faults().down = begins;
        return;
    case event_kind::store_slow:
        platform.faults().delay = {begins ? event.factor : 0};
        return;
    case event_kind::lose_answers:
        platform.faults().loseAnswers = begins ? static_cast<int>(event.factor) : 0;
        return;
    default:
        break;
    }
    int number = 0;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        if (m_plan.upstreams[i].shape.service != event.service) {
            continue;
        }
        if (event.index < 0 || event.index == number) {
            applyTo(event, begins, *upstreams[i]);
        }
        ++number;
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
