/// \file
/// Fan-out of reports by availability zone.
///
/// Answers the traffic between zones of a fleet with many gateways in each: a report
/// crosses to another zone once, and the gateway that receives it forwards it to the
/// others of its zone.
#pragma once

#include "process/membership/gateway_directory.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Returns the first recipients of a report to `receivers`: all of `own_zone`, and one
/// live gateway of each other zone, which forwards it. A zone without a known live
/// gateway gets it directly. `turn` selects the forwarder; with a new one for each report
/// a gateway that fails costs its zone one report in a turn until it counts as silent.
std::vector<endpoint> first_recipients(std::span<const report_receiver> receivers,
                                       std::string_view own_zone, std::uint64_t turn);

} // namespace pistachiopost
