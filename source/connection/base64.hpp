/// \file
/// Base64 (RFC 4648), by OpenSSL.
#pragma once

#include <string>
#include <string_view>

namespace pistachiopost {

/// Returns `bytes` in base64.
std::string encode_base64(std::string_view bytes);

/// Decodes base64; text that is none reads as empty.
std::string decode_base64(std::string_view text);

} // namespace pistachiopost
