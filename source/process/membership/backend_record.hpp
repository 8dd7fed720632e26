/// \file
/// A backend server as described by the platform's list.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/store_version.hpp"
#include "request/time_types.hpp"

#include <cstdint>
#include <string>

namespace pistachiopost {

/// One incarnation of a backend server.
struct backend_record
{
    std::string id;
    std::string service;
    endpoint address;
    std::string zone;
    std::uint32_t slots = 1;        ///< Maximum concurrent requests.
    bool leaving = false;           ///< Accepts no new requests.
    std::int64_t start_time_ms = 0; ///< Of this incarnation, Unix time; 0 if unknown.
    /// Time from the moment the row was read for which it still tolerates few requests.
    milliseconds cold_remaining{0};
    store_version row_version; ///< Of the row; number 0 if unknown.

    bool operator==(const backend_record&) const = default;
};

} // namespace pistachiopost
