/// \file
/// JSON format of a configuration version in the table service.
#pragma once

#include "version/configuration.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Parses a configuration version. Throws version_error that lists all errors in `text`.
std::shared_ptr<const configuration> parse_configuration(std::string_view text);

/// Returns the hexadecimal SHA-256 digest under which a customer's key is stored.
std::string key_digest(std::string_view key);

} // namespace pistachiopost
