/// \file
/// Rows with which gateways publish themselves in the store.
#pragma once

#include "process/membership/gateway_directory.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

/// Encodes the value of a gateway's row as JSON.
std::string encode_gateway_record(const gateway_record& it);
/// Decodes the row `name`. Throws codec_error.
gateway_record decode_gateway_record(std::string_view name, std::string_view value);

} // namespace pistachiopost
