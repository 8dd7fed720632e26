/// \file
/// Record of the disturbances of a deployment.
#pragma once

#include "request/time_types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pistachiopost::soak {

/// One disturbance, from its start until its effects have settled.
struct disturbance
{
    std::string name;
    time_point from;
    time_point to = time_point::max();
    std::optional<std::size_t> gateway; ///< Affected gateway; all if empty.
    bool planned = false;               ///< Must not cause the loss of a call.
    std::string backend;                ///< Backend server whose store row it changes.
    bool draining = false;              ///< That server must get no new work meanwhile.
    /// Backend servers of an evacuated zone, which must get no new work meanwhile.
    std::vector<std::string> evacuated{};
    std::optional<time_point> restored_at{}; ///< When the zone's return began.
};

/// The disturbances of one run.
using disturbances = std::vector<disturbance>;

} // namespace pistachiopost::soak
