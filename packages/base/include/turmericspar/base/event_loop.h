/// @file event_loop.h
/// The libevent loop that carries every socket and timer of a process.
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

/// A timer, a watched descriptor or a signal. Destroying it ends its callbacks.
class event_watcher
{
public:
    using callback = std::function<void()>;
    explicit event_watcher(callback action);

    /// Arms the timer for one more run after a delay.
    void restart(millis delay);
    /// Disarms without destroying.
    void stop();

private:
    friend class event_loop;
    callback m_action;
    std::unique_ptr<event, event_deleter> m_event;
};

using event_watcher_ptr = std::unique_ptr<event_watcher>;

/// How exact the timers of a loop are. Exact ones cost a system call in each turn.
enum class timer_precision { exact, coarse };

/// One event_base with RAII around its events. All calls come from the thread that runs it, but for `quit`.
class event_loop
{
public:
    /// @param precision coarse timers may fire some milliseconds late
    explicit event_loop(timer_precision precision = timer_precision::exact);
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// @return the event_base, for libevent calls.
    event_base *base() const { return m_base.get(); }

    /// Runs an action once after a delay, unless the result is destroyed first.
    [[nodiscard]] event_watcher_ptr after(millis delay, event_watcher::callback action);
    /// Runs an action again and again with a period.
    [[nodiscard]] event_watcher_ptr every(millis period, event_watcher::callback action);
    /// Runs an action whenever a descriptor can be read.
    [[nodiscard]] event_watcher_ptr onReadable(int descriptor, event_watcher::callback action);
    /// Runs an action on a signal of the process.
    [[nodiscard]] event_watcher_ptr onSignal(int signal, event_watcher::callback action);
    /// Runs an action in the next turn of the loop.
    void defer(event_watcher::callback action);

    /// Runs until quit.
    void run();
    /// Ends run after the present turn.
    void quit();

private:
    event_watcher_ptr makeWatcher(int descriptor, short what, event_watcher::callback action);
    std::unique_ptr<event_base, event_base_deleter> m_base;
};

} // namespace turmericspar
