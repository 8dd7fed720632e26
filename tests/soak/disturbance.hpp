/// \file
/// What was done to the deployment, and when.
#pragma once

#include "request/time_types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pistachiopost::soak {

/// One disturbance, from its start to a moment at which its effects are over.
struct disturbance
{
    std::string name;
    time_point from;
    time_point to = time_point::max();
    std::optional<std::size_t> gateway; ///< The one that it hit; else all.
    bool planned = false;               ///< Nothing may be lost through it.
    std::string row;                    ///< Backend server whose row it changes.
    bool leaves = false;                ///< That one gets no new work from then on.
};

/// The disturbances of one run.
using disturbances = std::vector<disturbance>;

} // namespace pistachiopost::soak
