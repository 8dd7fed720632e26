/// \file
/// Log events of a forwarded request: each decision with the data it was based on.
#pragma once

#include "process/admission/dispatcher.hpp"
#include "request/forward_context.hpp"

#include <string_view>

namespace pistachiopost {

/// Logs an attempt that yielded no answer.
void log_attempt_failed(const forward_context& run, const placement& place,
                        const attempt_result& result);
/// Logs a request that got no placement in time.
void log_no_placement(const forward_context& run, const placement_request& wanted,
                      const rejection_reason& reason, const queue_snapshot& queue);
/// Logs the final outcome of a request.
void log_request_ended(const forward_context& run, std::string_view outcome,
                       time_point now);
/// Logs a request that the gateway refused without an attempt.
void log_request_refused(const forwarded_request& request, std::string_view outcome,
                         std::uint64_t version);

} // namespace pistachiopost
