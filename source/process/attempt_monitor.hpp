/// \file
/// Observes one attempt and finds another backend server while the one that runs it is
/// silent.
#pragma once

#include "process/admission/placement_guard.hpp"
#include "process/backend_notice.hpp"
#include "process/gateway_state.hpp"
#include "request/forward_context.hpp"

#include <memory>

namespace pistachiopost {

/// Owned by the task of the request for the duration of one attempt.
class attempt_monitor
{
public:
    /// `held` is the placement of the attempt, `wanted` what it was made for.
    attempt_monitor(gateway_state& state, const forward_context& run,
                    const placement_request& wanted, placement_guard& held)
        : state_(state), run_(run), wanted_(wanted), held_(held)
    {
    }

    /// Returns whether the request may still be sent to the placement's backend servers.
    /// Their zones may have been evacuated since it was made.
    bool may_send();
    /// Records that the first event has arrived.
    void first_event() { held_.prefill_done(); }
    /// Applies what the backend server says about its availability.
    void notice(const backend_notice& notice, time_point now)
    {
        apply_notice(state_, held_.get().main.backend, notice, run_.call.request.id, now);
    }
    /// Handles a silent backend server: returns whether another one takes over, for which
    /// a placement and a retry of the budget are then taken. A silence alone does not end
    /// an attempt, since a sound backend server may go on.
    bool take_over(time_point now);
    /// Returns the placement at the backend server that takes over, null if there is
    /// none.
    std::unique_ptr<placement_guard> take_successor() { return std::move(successor_); }

private:
    gateway_state& state_;
    const forward_context& run_;
    const placement_request& wanted_;
    placement_guard& held_;
    std::unique_ptr<placement_guard> successor_;
    bool reported_ = false; ///< The silence was recorded and logged.
};

} // namespace pistachiopost
