/// @file nonblocking_sink.h
/// A log sink that never blocks on the reader of its output.
#pragma once

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <string>
#include <unistd.h>

namespace turmericspar {

/// Writes each line with one system call, and drops it if the descriptor is not writable. The next line written is preceded by an event with
/// the number of dropped lines.
class nonblocking_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit nonblocking_sink(int descriptor = STDOUT_FILENO) : m_descriptor(descriptor) { }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        spdlog::memory_buf_t text;
        base_sink<spdlog::details::null_mutex>::formatter_->format(message, text);
        // A pipe that poll reports as writable has room for PIPE_BUF bytes, so writing a line of up to that size does not block.
        pollfd output{m_descriptor, POLLOUT, 0};
        if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
            ++m_dropped;
            return;
        }
        std::string line = m_dropped > 0 ? "event=log_lines_dropped count=" + std::to_string(m_dropped) + "\n" : "";
        line.append(text.data(), text.size());
        if (line.size() > maxLineSize) {
            line.resize(maxLineSize - 1);
            line += '\n';
        }
        m_dropped = write(m_descriptor, line.data(), line.size()) < 0 ? m_dropped + 1 : 0;
    }
    void flush_() override { }

private:
    static constexpr std::size_t maxLineSize = 4096; ///< PIPE_BUF of Linux

    int m_descriptor;
    std::size_t m_dropped = 0;
};

} // namespace turmericspar
