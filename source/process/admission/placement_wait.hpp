/// \file
/// Waits in the queue until a request gets its placement.
#pragma once

#include "process/admission/placement_guard.hpp"
#include "process/gateway_state.hpp"
#include "request/forward_context.hpp"

#include <memory>

namespace pistachiopost {

/// Limits on the time that a request spends in the queue.
struct queue_timeouts
{
    milliseconds urgent_after; ///< From then on it takes precedence over late requests.
    milliseconds max_wait;     ///< After this it is refused.
};

/// Returns the queue timeouts for requests of a route.
queue_timeouts queue_timeouts_for(const route& matched_route);

/// Waits for a placement on the task of the request; null if the caller disconnected, the
/// wait timed out or the process is out of descriptors.
std::unique_ptr<placement_guard> acquire_placement(gateway_state& state,
                                                   forward_context& run,
                                                   const placement_request& wanted);

} // namespace pistachiopost
