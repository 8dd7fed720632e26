/// \file
/// Log lines about cold backend servers.
#pragma once

#include "process/gateway_state.hpp"

namespace pistachiopost {

/// Logs which backend servers have turned cold or warm since the last call.
void log_cold_changes(gateway_state& state, time_point now);

} // namespace pistachiopost
