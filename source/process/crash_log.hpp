/// \file
/// Log events about suspects of crashes.
#pragma once

#include "process/crash_tracker.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

/// Returns the kind and the hexadecimal id of a suspect.
std::string to_string(const suspect& subject);

/// Logs that a suspect became blocked by a report of the gateway `reporter`.
void log_blocked(const new_block& block, std::string_view reporter);

} // namespace pistachiopost
