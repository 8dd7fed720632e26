/// \file
/// Tells the tasks of a process to end.
#pragma once

#include "request/time_types.hpp"

#include <condition_variable>
#include <mutex>

namespace pistachiopost {

/// Set once; tasks wait on it between their rounds.
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

    /// Waits at most `span`; returns whether the flag is set.
    bool wait_for(steady::duration span)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, span, [this] { return set_; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool set_ = false;
};

} // namespace pistachiopost
