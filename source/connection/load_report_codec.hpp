/// \file
/// Encodes and decodes the load report datagrams of gateways (msgpack).
#pragma once

#include "process/placement/load_tracker.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

std::string encode_load_report(const load_report_message& message);

/// Throws codec_error.
load_report_message decode_load_report(std::string_view bytes);

} // namespace pistachiopost
