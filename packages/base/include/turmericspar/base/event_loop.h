/// @file event_loop.h
/// A libevent event loop with RAII handles for timers, descriptors and signals.
#pragma once

#include "turmericspar/base/clock.h"

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace turmericspar {

struct event_deleter
{
    void operator()(event *handle) const;
};
struct event_base_deleter
{
    void operator()(event_base *base) const;
};

/// A registration for a timer, a readable descriptor or a signal. Its callback no longer runs once it is destroyed.
class event_watcher
{
public:
    using callback = std::function<void()>;
    explicit event_watcher(callback action);

    /// Arms the timer, or arms it again with a new delay.
    void restart(millis delay);
    /// Disarms it; restart() arms a timer again.
    void stop();

private:
    friend class event_loop;
    callback m_action;
    std::unique_ptr<event, event_deleter> m_event;
};

using event_watcher_ptr = std::unique_ptr<event_watcher>;

/// Precision of the timers of a loop. Exact timers cost a system call in each iteration.
enum class timer_precision { exact, coarse };

/// Owns an event_base. All members except quit() must be called from the thread that runs the loop.
class event_loop
{
public:
    /// @param precision coarse timers may fire some milliseconds late
    explicit event_loop(timer_precision precision = timer_precision::exact);
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// For direct calls of libevent.
    event_base *base() const { return m_base.get(); }

    /// Runs an action once after a delay, unless the returned watcher is destroyed first.
    [[nodiscard]] event_watcher_ptr after(millis delay, event_watcher::callback action);
    /// Runs an action periodically.
    [[nodiscard]] event_watcher_ptr every(millis period, event_watcher::callback action);
    /// Runs an action whenever a descriptor is readable.
    [[nodiscard]] event_watcher_ptr onReadable(int descriptor, event_watcher::callback action);
    /// Runs an action whenever the process receives a signal.
    [[nodiscard]] event_watcher_ptr onSignal(int signal, event_watcher::callback action);
    /// Runs an action in the next iteration of the loop.
    void defer(event_watcher::callback action);

    /// Runs the loop until quit() is called, also while no event is registered.
    void run();
    /// Makes run() return after the callback in progress.
    void quit();

private:
    event_watcher_ptr makeWatcher(int descriptor, short what, event_watcher::callback action);
    std::unique_ptr<event_base, event_base_deleter> m_base;
};

} // namespace turmericspar
