/// \file
/// Owns a place at a backend server for the time of one attempt.
#pragma once

#include "process/dispatcher.hpp"

#include <utility>

namespace pistachiopost {

/// A place at a backend server, given back at the end of the attempt.
class placement_guard
{
public:
    placement_guard(dispatcher& dispatch, placement granted)
        : dispatch_(dispatch), placement_(std::move(granted))
    {
    }
    placement_guard(const placement_guard&) = delete;
    placement_guard& operator=(const placement_guard&) = delete;
    ~placement_guard()
    {
        prefill_done();
        dispatch_.release(placement_, steady::now());
    }

    /// Says that the first event was seen. Further calls do nothing.
    void prefill_done()
    {
        if (!std::exchange(prefill_done_, true))
        {
            dispatch_.prefill_done(placement_, steady::now());
        }
    }

    [[nodiscard]] const placement& get() const { return placement_; }

private:
    dispatcher& dispatch_;
    placement placement_;
    bool prefill_done_ = false;
};

} // namespace pistachiopost
