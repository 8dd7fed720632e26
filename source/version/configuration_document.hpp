/// \file
/// The JSON form of a configuration version, as kept in the table service.
#pragma once

#include "version/configuration.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Returns the version in `text`. Throws version_error naming every fault.
std::shared_ptr<const configuration> parse_configuration(std::string_view text);

/// Returns the digest under which a customer's key is kept.
std::string key_digest(std::string_view key);

} // namespace pistachiopost
