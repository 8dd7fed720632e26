/// \file
/// Refusals of requests that never wait for a placement.
#pragma once

#include "connection/caller_response.hpp"
#include "process/gateway_state.hpp"
#include "request/forwarded_request.hpp"

#include <optional>
#include <string_view>

namespace pistachiopost {

/// Minimum time after which retrying a refused request is useful.
inline constexpr milliseconds min_retry_after{100};

/// Answer to a refused request.
struct request_refusal
{
    int status = 0;
    std::string_view reason;  ///< For the caller.
    std::string_view outcome; ///< In counters and log lines.
    std::optional<milliseconds> retry_after{};
};

/// Refuses a request; returns whether its connection stays open.
bool refuse(gateway_state& state, caller_response& response,
            const forwarded_request& request, const request_refusal& answer);

/// Refuses a request that may not be answered before the process ends.
bool refuse_for_stop(gateway_state& state, caller_response& response,
                     const forwarded_request& request);

/// Refuses a request that the configuration does not know, for good unless a newer one
/// exists that may know it. Another gateway may have that one already.
bool refuse_unknown(gateway_state& state, caller_response& response,
                    const forwarded_request& request, const request_refusal& answer);

} // namespace pistachiopost
