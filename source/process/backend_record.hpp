/// \file
/// A backend server as the list of the platform describes it.
#pragma once

#include "connection/unique_fd.hpp"

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
    std::uint32_t slots = 1; ///< Requests that it runs at once.
    bool leaving = false;    ///< Takes no new work.
    std::int64_t start_time_ms =
        0; ///< Start of this incarnation, Unix milliseconds; 0: unknown.

    bool operator==(const backend_record&) const = default;
};

} // namespace pistachiopost
