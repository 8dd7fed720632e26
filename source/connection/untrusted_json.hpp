/// \file
/// Parses JSON and msgpack from other processes into documents of bounded nesting: copies
/// of a document, and the library's own msgpack parser, recurse once for each level.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace pistachiopost {

/// Levels of arrays and objects in an accepted document: several times those of the
/// deepest message.
inline constexpr std::size_t max_json_nesting = 32;

/// Parses JSON text. Throws codec_error.
nlohmann::json parse_untrusted_json(std::string_view text);

/// Parses one msgpack value. Throws codec_error.
nlohmann::json parse_untrusted_msgpack(std::string_view bytes);

} // namespace pistachiopost
