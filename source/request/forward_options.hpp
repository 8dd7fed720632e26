/// \file
/// On what terms one attempt is sent to a backend server.
#pragma once

#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pistachiopost {

/// An engine that reads a part of the prompt for another one.
struct prefill_helper
{
    endpoint address;
    std::string reservation; ///< Memory reserved there for this prompt; may be empty.
};

/// Terms of one attempt.
struct forward_options
{
    std::string backend; ///< Incarnation that must run it.
    milliseconds time_left{0};
    std::string customer;       ///< Empty if the route needs none.
    std::string last_event_id;  ///< Events up to this one are there; may be empty.
    std::uint32_t priority = 5; ///< 0 to 9, 0 is admitted first.
    std::vector<prefill_helper> helpers;
};

} // namespace pistachiopost
