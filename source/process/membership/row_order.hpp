/// \file
/// Order in which the gateways published their rows in the store.
#pragma once

#include "process/stored_row.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Returns the row with this key, or null if there is none.
const stored_row* find_row(std::span<const stored_row> rows, std::string_view key);

/// Returns the keys of the rows that were written before the row `key`, or cannot be told
/// from such rows; nothing if there is no row `key`.
std::optional<std::vector<std::string>>
find_preceding_rows(std::span<const stored_row> rows, std::string_view key);

} // namespace pistachiopost
