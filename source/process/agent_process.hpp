/// \file
/// The agent: the small process beside one backend server.
#pragma once

#include "process/settings.hpp"

namespace pistachiopost {

/// Runs an agent until SIGTERM or SIGINT, then lets its work finish. Returns the
/// exit code. Throws connection_error if it cannot listen.
int run_agent(const agent_settings& settings);

} // namespace pistachiopost
