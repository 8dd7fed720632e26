/// \file
/// State of a forwarded request across its attempts.
#pragma once

#include "connection/forward_attempt.hpp"
#include "process/crash_news.hpp"
#include "process/placement/placement.hpp"
#include "request/forward_retry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiopost {

/// Owned by the task that serves the request, on its stack.
struct forward_context
{
    exchange& call;
    const route_table& table; ///< The configuration version that the request runs under.
    std::string customer;
    time_point arrived;
    std::uint32_t priority = 0;
    /// Regions of backend servers and helpers; all if there is no value.
    std::optional<std::vector<std::string>> allowed_regions{};
    std::vector<suspect> suspects{}; ///< What may crash backend servers.
    attempt_history history{};
    std::vector<std::string> failed_backends{}; ///< Excluded from further attempts.
    std::vector<std::string> full_engines{};    ///< Refused a reservation.
    bool out_of_time = false;
    std::string last_error{};
    std::optional<time_point> first_event{};
    milliseconds longest_pause{0};
    steady::duration queue_time{0}; ///< From arrival to the last placement.
    placement last_placement{};
};

} // namespace pistachiopost
