/// \file
/// Guarantees of the gateway, checked against the records of callers and backend servers.
#pragma once

#include "soak/backend_stub.hpp"
#include "soak/callers.hpp"
#include "soak/disturbance.hpp"

#include <map>
#include <string>
#include <vector>

namespace pistachiopost::soak {

/// Runs at backend servers, by request identifier.
using runs_by_request = std::map<std::string, std::vector<run_record::run>>;

/// Returns the violated guarantees, each with the request that shows it.
std::vector<std::string> find_violations(const std::vector<call_record>& calls,
                                         const runs_by_request& runs,
                                         const disturbances& disturbed);

/// Returns the requests and the new memory reservations that reached backend servers of
/// zones which had been evacuated for longer than the limit.
std::vector<std::string>
find_evacuation_violations(const runs_by_request& runs,
                           const std::vector<run_record::reservation>& reservations,
                           const disturbances& disturbed);

} // namespace pistachiopost::soak
