/// \file
/// Base64 (RFC 4648), implemented with OpenSSL.
#pragma once

#include <string>
#include <string_view>

namespace pistachiopost {

std::string encode_base64(std::string_view bytes);

/// Decodes base64; returns an empty string if `text` is not valid base64.
std::string decode_base64(std::string_view text);

} // namespace pistachiopost
