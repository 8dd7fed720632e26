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
struct helper_part
{
    endpoint address;
    std::string reservation; ///< Memory reserved there for this prompt; may be empty.
};

/// Terms of one attempt.
struct forward_terms
{
    std::string backend; ///< Incarnation that must run it.
    milliseconds time_left{0};
    std::string customer;      ///< Empty if the route needs none.
    std::string last_event_id; ///< Events up to this one are there; may be empty.
    std::uint32_t urgency = 5; ///< 0 to 9, 0 is admitted first.
    std::vector<helper_part> helpers;
};

} // namespace pistachiopost
