/// \file
/// A POSIX thread with a stack of stated size.
#pragma once

#include "request/time_types.hpp"

#include <pthread.h>

#include <cstddef>
#include <functional>

namespace pistachiopost {

/// Stack of a task, in bytes. Only touched pages become resident.
inline constexpr std::size_t task_stack_bytes = 524'288;

/// Runs a function on a thread of its own. Must be joined before destruction.
class task
{
public:
    task() = default;
    /// Starts the thread. Throws std::system_error if none can be started.
    explicit task(std::function<void()> work);
    task(task&& other) noexcept;
    task& operator=(task&& other) noexcept;
    task(const task&) = delete;
    task& operator=(const task&) = delete;
    ~task();

    /// Waits until the function has returned. Does nothing if not running.
    void join();

    /// Starts a thread that nobody joins.
    static void start_detached(std::function<void()> work, std::size_t stack_bytes);

private:
    pthread_t thread_{};
    bool running_ = false;
};

/// Blocks the signals that stop a process in the calling thread and all threads
/// started from it, so that wait_for_stop_signal() receives them.
void block_stop_signals();

/// Waits for SIGTERM or SIGINT and returns its number. SIGHUP is logged and ignored.
int wait_for_stop_signal();

/// Waits the same, but calls `look` with true on SIGHUP and with false after each
/// `interval`.
int wait_for_stop_signal(const std::function<void(bool)>& look, milliseconds interval);

} // namespace pistachiopost
