/// \file
/// Decides whether a forwarded request gets another attempt, and its final response.
#pragma once

#include "request/forwarded_request.hpp"
#include "request/time_types.hpp"
#include "version/route_table.hpp"

#include <cstdint>

namespace pistachiopost {

/// Counts of the finished attempts of one request.
struct attempt_history
{
    std::uint32_t may_have_run = 0; ///< Attempts that were or may have been executed.
    std::uint32_t not_run = 0;      ///< Attempts that were certainly not executed.
    bool response_begun = false;    ///< Part of the response was sent to the caller.
};

/// Returns whether another attempt is allowed between `now` and the deadline `until`.
/// Does not check the retry budget.
bool may_retry(const route& target, const attempt_history& history, time_point now,
               time_point until);

/// Final response that the gateway generates when no backend server answered.
enum class local_reply
{
    not_run,     ///< Certainly not executed: the caller may retry.
    failed,      ///< May have been executed.
    out_of_time, ///< May have been executed; the deadline has passed.
    broken_off   ///< The response was begun and cannot be completed.
};

/// Returns the final response after the attempts in `history`.
local_reply choose_local_reply(const attempt_history& history, bool out_of_time);

} // namespace pistachiopost
