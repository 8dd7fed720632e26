/// \file
/// Signals the tasks of a process to stop.
#pragma once

#include "request/time_types.hpp"

#include <condition_variable>
#include <mutex>

namespace pistachiopost {

/// Flag that is set once. Periodic tasks wait on it between iterations.
class stop_flag
{
public:
    /// Sets the flag and wakes all waiters.
    void set()
    {
        const std::lock_guard lock(mutex_);
        set_ = true;
        changed_.notify_all();
    }

    /// Waits until the flag is set, for at most `timeout`. Returns whether it is set.
    bool wait_for(steady::duration timeout)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, timeout, [this] { return set_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool set_ = false;
};

} // namespace pistachiopost
