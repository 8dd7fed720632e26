/// \file
/// One forwarded request between its attempts.
#pragma once

#include "connection/forward_attempt.hpp"
#include "process/placement.hpp"
#include "request/forward_retry.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiopost {

/// Lives on the stack of the task that serves the request.
struct forward_context
{
    exchange& call;
    const route_table& table; ///< The configuration that it runs under.
    std::string customer;
    time_point arrived;
    std::uint32_t priority = 0;
    std::uint64_t fingerprint = 0;
    attempt_history history{};
    std::vector<std::string> failed_backends{}; ///< Backend servers that failed it.
    std::vector<std::string> full_engines{};    ///< Engines without memory to set aside.
    bool out_of_time = false;
    std::string last_error{};
    std::optional<time_point> first_event{};
    milliseconds longest_pause{0};
    steady::duration queue_time{0}; ///< For its last place.
    placement last_placement{};
};

} // namespace pistachiopost
