/// \file
/// Parses and validates settings in JSON.
#pragma once

#include "process/settings.hpp"
#include "process/settings_error.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

/// Returns the settings in `text`. Throws settings_error with all errors found.
process_settings parse_settings(std::string_view text);

/// Returns the settings in the file `path`. Throws settings_error.
process_settings read_settings_file(const std::string& path);

} // namespace pistachiopost
