/// \file
/// POSIX threads with an explicit stack size, and waiting for stop signals.
#pragma once

#include "request/time_types.hpp"

#include <pthread.h>

#include <cstddef>
#include <functional>

namespace pistachiopost {

/// Stack size of a task, in bytes. Only touched pages become resident.
inline constexpr std::size_t task_stack_bytes = 524'288;

/// Runs a function in its own thread. Must be joined before destruction.
class task
{
public:
    task() = default;
    /// Starts the thread. Throws std::system_error on failure.
    explicit task(std::function<void()> work);
    task(task&& other) noexcept;
    task& operator=(task&& other) noexcept;
    task(const task&) = delete;
    task& operator=(const task&) = delete;
    ~task();

    /// Waits until the function has returned. Does nothing if not running.
    void join();

    /// Starts a detached thread.
    static void start_detached(std::function<void()> work, std::size_t stack_bytes);

private:
    pthread_t thread_{};
    bool running_ = false;
};

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and the threads started from
/// it, so that wait_for_stop_signal() receives them. Ignores SIGPIPE.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT and returns its number. SIGHUP is logged and ignored.
int wait_for_stop_signal();

/// Waits for SIGTERM or SIGINT like the other overload. Calls `poll` with true on SIGHUP
/// and with false after each `interval`.
int wait_for_stop_signal(const std::function<void(bool)>& poll, milliseconds interval);

} // namespace pistachiopost
