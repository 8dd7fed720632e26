/// \file
/// The entry process, which accepts callers' requests and sends them to agents.
#pragma once

#include "process/settings.hpp"

namespace pistachiopost {

/// Runs an entry until SIGTERM or SIGINT, then finishes requests in progress. Returns
/// the exit code. Throws connection_error if it cannot listen.
int run_entry(const entry_settings& settings);

} // namespace pistachiopost
