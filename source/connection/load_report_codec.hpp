/// \file
/// Turns load reports into datagrams (msgpack) and back.
#pragma once

#include "process/load_tracker.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

/// Returns the bytes of a datagram.
std::string encode_load_report(const load_report_message& message);

/// Reads a datagram. Throws codec_error.
load_report_message decode_load_report(std::string_view bytes);

} // namespace pistachiopost
