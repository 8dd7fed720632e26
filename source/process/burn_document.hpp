/// \file
/// The burn report as JSON and as a page.
#pragma once

#include "process/burn_report.hpp"

#include <string>

namespace pistachiopost {

/// Returns the report as a JSON document.
std::string to_json(const burn_report& report);

/// Returns the report as an HTML page that needs no other file.
std::string to_page(const burn_report& report);

} // namespace pistachiopost
