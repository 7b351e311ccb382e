#include "turmericspar/base/event_loop.h"

#include <cmath>
#include <event2/event.h>

namespace turmericspar {

namespace {

/// Negative delays count as 0.
timeval toTimeval(millis delay)
{
    const double count = std::max(delay.count, 0.0);
    const auto seconds = static_cast<time_t>(count / oneSecond.count);
    const auto micros = static_cast<suseconds_t>(std::fmod(count, oneSecond.count) * 1000);
    return {seconds, micros};
}

} // namespace

void event_deleter::operator()(event *handle) const
{
    event_free(handle);
}

void event_base_deleter::operator()(event_base *base) const
{
    event_base_free(base);
}

event_watcher::event_watcher(callback action) : m_action(std::move(action)) { }

void event_watcher::restart(millis delay)
{
    const timeval timeout = toTimeval(delay);
    evtimer_add(m_event.get(), &timeout);
}

void event_watcher::stop()
{
    event_del(m_event.get());
}

event_loop::event_loop(timer_precision precision)
{
    event_config *config = event_config_new();
    if (precision == timer_precision::exact) {
        event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    }
    m_base.reset(event_base_new_with_config(config));
    event_config_free(config);
}

event_loop::~event_loop() = default;

event_watcher_ptr event_loop::makeWatcher(int descriptor, short what, event_watcher::callback action)
{
    auto watcher = std::make_unique<event_watcher>(std::move(action));
    const auto run = [](evutil_socket_t, short, void *self) {
        // The copy keeps the action alive while it runs, even if it destroys its own watcher.
        const auto action = static_cast<event_watcher *>(self)->m_action;
        action();
    };
    watcher->m_event.reset(event_new(m_base.get(), descriptor, what, run, watcher.get()));
    return watcher;
}

event_watcher_ptr event_loop::after(millis delay, event_watcher::callback action)
{
    auto watcher = makeWatcher(-1, 0, std::move(action));
    watcher->restart(delay);
    return watcher;
}

event_watcher_ptr event_loop::every(millis period, event_watcher::callback action)
{
    auto watcher = makeWatcher(-1, EV_PERSIST, std::move(action));
    watcher->restart(period);
    return watcher;
}

event_watcher_ptr event_loop::onReadable(int descriptor, event_watcher::callback action)
{
    auto watcher = makeWatcher(descriptor, EV_READ | EV_PERSIST, std::move(action));
    event_add(watcher->m_event.get(), nullptr);
    return watcher;
}

event_watcher_ptr event_loop::onSignal(int signal, event_watcher::callback action)
{
    auto watcher = makeWatcher(signal, EV_SIGNAL | EV_PERSIST, std::move(action));
    event_add(watcher->m_event.get(), nullptr);
    return watcher;
}

void event_loop::defer(event_watcher::callback action)
{
    const auto run = [](evutil_socket_t, short, void *argument) {
        const std::unique_ptr<event_watcher::callback> owned(static_cast<event_watcher::callback *>(argument));
        (*owned)();
    };
    const timeval immediately{0, 0};
    event_base_once(m_base.get(), -1, EV_TIMEOUT, run, new event_watcher::callback(std::move(action)), &immediately);
}

void event_loop::run()
{
    event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::quit()
{
    event_base_loopbreak(m_base.get());
}

} // namespace turmericspar
