/// \file
/// The agent process, which queues the requests of one backend server.
#pragma once

#include "process/settings.hpp"

namespace pistachiopost {

/// Runs an agent until SIGTERM or SIGINT, then drains it. Returns 0 if all attempts
/// finished within the stop grace period, else 1. Throws connection_error if it
/// cannot listen.
int run_agent(const agent_settings& settings);

} // namespace pistachiopost
