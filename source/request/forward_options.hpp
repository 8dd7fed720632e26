/// \file
/// Options with which one attempt is forwarded to a backend server.
#pragma once

#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pistachiopost {

/// An engine that prefills part of a prompt on behalf of another engine.
struct prefill_helper
{
    endpoint address;
    std::string reservation; ///< Id of the memory reservation there; empty if none.
};

/// Options of one attempt.
struct forward_options
{
    std::string backend; ///< Backend server instance that must run the attempt.
    milliseconds time_left{0};
    std::string customer;       ///< Empty if the route requires none.
    std::string last_event_id;  ///< Last event already received; empty if none.
    std::uint32_t priority = 5; ///< 0 (admitted first) to 9.
    std::vector<prefill_helper> helpers;
    time_point send_by = time_point::max(); ///< The attempt must not be sent later.
};

} // namespace pistachiopost
