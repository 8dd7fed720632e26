/// \file
/// What happens after an attempt of a forwarded request.
#pragma once

#include "request/forwarded_request.hpp"
#include "request/time_types.hpp"
#include "version/route_table.hpp"

#include <cstdint>

namespace pistachiopost {

/// The attempts of one request so far.
struct attempt_history
{
    std::uint32_t may_have_run = 0; ///< Attempts that ran or may have run.
    std::uint32_t not_run = 0;      ///< Attempts that surely did not run.
    bool response_begun = false;    ///< The caller has part of the answer.
};

/// Returns whether the next attempt is allowed, the budget aside. `now` and `until`
/// bound the time that is left.
bool may_retry(const route& target, const attempt_history& history, time_point now,
               time_point until);

/// The gateway's own final answer when no backend server gave one.
enum class local_reply
{
    not_run,     ///< Surely not run: the caller may come back.
    failed,      ///< May have run.
    out_of_time, ///< May have run and no time is left.
    broken_off   ///< The response had begun and cannot be completed.
};

/// Returns the final answer after these attempts.
local_reply choose_local_reply(const attempt_history& history, bool out_of_time);

} // namespace pistachiopost
