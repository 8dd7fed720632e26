/// \file
/// Waits in the queue until a request gets its placement.
#pragma once

#include "process/admission/placement_guard.hpp"
#include "process/gateway_state.hpp"
#include "request/forward_context.hpp"

#include <memory>

namespace pistachiopost {

/// Returns by when a request of this route that arrived at `arrived` and has to be
/// complete at `until` needs its answer.
caller_deadlines deadlines_for(const route& matched_route, time_point arrived,
                               time_point until);

/// Waits for a placement on the task of the request; null if the caller disconnected, the
/// request was rejected or the process is out of descriptors.
std::unique_ptr<placement_guard> acquire_placement(gateway_state& state,
                                                   forward_context& run,
                                                   const placement_request& wanted);

} // namespace pistachiopost
