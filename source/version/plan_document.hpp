/// \file
/// The JSON form of plans, as kept in the table service.
#pragma once

#include "version/plan.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

/// Returns the JSON text of a plan.
std::string format_plan(const plan& it);
/// Returns the plan in `text`. Throws version_error.
plan parse_plan(std::string_view text);

/// Returns the items of a section, a line each; only `item` if it is not empty.
std::string describe_section(std::string_view document, std::string_view section,
                             std::string_view item);

/// Returns what an intent will do to shares and capacity, a line each, in words.
/// `document` is the version it is based on.
std::vector<std::string> describe_shares(std::string_view document, const intent& change);

} // namespace pistachiopost
