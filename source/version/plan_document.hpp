/// \file
/// JSON format of plans in the table service, and descriptions for operators.
#pragma once

#include "version/plan.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

std::string format_plan(const plan& it);
/// Parses a plan. Throws version_error if `text` is invalid.
plan parse_plan(std::string_view text);

/// Returns the items of a section, one on each line; only `item` unless it is empty.
std::string describe_section(std::string_view document, std::string_view section,
                             std::string_view item);

/// Returns text lines that state how an intent changes the shares of customers.
/// `document` is the base version.
std::vector<std::string> describe_shares(std::string_view document, const intent& change);

} // namespace pistachiopost
