/// \file
/// Refusals: why a request got no answer and whether it was executed.
#pragma once

#include "request/time_types.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

/// Whether a request, or one attempt at it, was executed.
enum class run_state
{
    not_run, ///< Certain: no backend server started it.
    ran,     ///< Executed completely or in part.
    unknown  ///< May have been executed.
};

/// Why a request was refused or an attempt failed.
enum class refusal_reason
{
    bad_request,
    unauthorized,
    not_found,
    too_large,
    key_required,
    key_reused,
    in_progress,
    deadline_too_short,
    deadline_passed,
    queue_full,
    no_backend,
    draining,
    store_unavailable,
    backend_failed,
    backend_crashed,
    link_lost,
    poisonous,
    too_many_connections,
    caller_gone,
    internal
};

/// A refusal as reported to callers.
struct refusal
{
    refusal_reason reason = refusal_reason::internal;
    run_state state = run_state::not_run;
    std::string detail; ///< Message for the caller, with what to change or do next.
    milliseconds retry_after{0}; ///< Zero if a retry is pointless.
};

/// Returns the stable machine-readable name of `reason`.
std::string_view to_string(refusal_reason reason);

/// Returns the stable machine-readable name of `state`.
std::string_view to_string(run_state state);

} // namespace pistachiopost
