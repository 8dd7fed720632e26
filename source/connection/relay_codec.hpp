/// \file
/// Messages between a gateway that follows a table of the store and those it relays to.
#pragma once

#include "process/stored_row.hpp"
#include "request/time_types.hpp"

#include <string>
#include <string_view>

namespace pistachiopost {

/// Asks for the changes of a table after a version.
struct relay_request
{
    std::string table;
    store_version since;  ///< The default for the whole table.
    milliseconds wait{0}; ///< Time to wait for a change.
    /// Whether `since` names its era. Gateways of earlier versions send the number alone.
    bool names_era = true;
};

/// Encodes a request as JSON.
std::string encode_relay_request(const relay_request& it);
/// Throws codec_error.
relay_request decode_relay_request(std::string_view bytes);

/// Encodes rows as MessagePack.
std::string encode_row_batch(const row_batch& batch);
/// Throws codec_error.
row_batch decode_row_batch(std::string_view bytes);

} // namespace pistachiopost
