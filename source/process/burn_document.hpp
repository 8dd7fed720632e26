/// \file
/// Formats the burn report as JSON and as HTML.
#pragma once

#include "process/burn_report.hpp"

#include <string>

namespace pistachiopost {

/// Returns the report as a JSON document.
std::string to_json(const burn_report& report);

/// Returns the report as a self-contained HTML page.
std::string to_html(const burn_report& report);

} // namespace pistachiopost
