/// \file
/// RAII owner of a placement for the duration of one attempt.
#pragma once

#include "process/admission/dispatcher.hpp"

#include <utility>

namespace pistachiopost {

/// Holds a placement and releases it on destruction.
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
        if (!prefill_done_)
        {
            dispatch_.prefill_done(placement_, steady::now());
        }
        dispatch_.release(placement_, steady::now());
    }

    /// Records that the first event has arrived. Idempotent.
    void prefill_done()
    {
        if (!std::exchange(prefill_done_, true))
        {
            dispatch_.first_event(placement_, steady::now());
        }
    }

    [[nodiscard]] const placement& get() const { return placement_; }

private:
    dispatcher& dispatch_;
    placement placement_;
    bool prefill_done_ = false;
};

} // namespace pistachiopost
