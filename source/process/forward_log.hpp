/// \file
/// The log lines of a forwarded request: each decision with what decided it.
#pragma once

#include "process/dispatcher.hpp"
#include "request/forward_context.hpp"

#include <string_view>

namespace pistachiopost {

/// An attempt did not yield the answer.
void log_attempt_failed(const forward_context& run, const placement& place,
                        const attempt_result& result);
/// A request waited in vain for a place.
void log_no_place(const forward_context& run, const placement_request& wanted,
                  const line_state& line);
/// A request got its final answer.
void log_ended(const forward_context& run, std::string_view outcome, time_point now);
/// A request was answered by the gateway before it looked for a place.
void log_refused(const forwarded_request& request, std::string_view outcome,
                 std::uint64_t version);

} // namespace pistachiopost
