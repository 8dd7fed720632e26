/// \file
/// The promises that the soak checks from what callers and backend servers saw.
#pragma once

#include "soak/callers.hpp"
#include "soak/disturbance.hpp"
#include "soak/worker.hpp"

#include <map>
#include <string>
#include <vector>

namespace pistachiopost::soak {

/// Runs by request identifier.
using runs_by_request = std::map<std::string, std::vector<run_record::run>>;

/// Returns the promises that were broken, each with the request that shows it.
std::vector<std::string> check_promises(const std::vector<call_record>& calls,
                                        const runs_by_request& runs,
                                        const disturbances& disturbed);

} // namespace pistachiopost::soak
