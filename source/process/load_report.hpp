/// \file
/// Reports that an agent sends to the entries it serves.
#pragma once

#include "request/time_types.hpp"

#include <array>
#include <cstdint>
#include <string>

#include "request/length_class.hpp"

namespace pistachiopost {

/// The state of one backend server as observed by its agent.
struct load_report
{
    std::string boot;               ///< Changes when the agent restarts.
    bool draining = false;          ///< Accepts no new requests.
    bool healthy = true;            ///< The backend server responds to its agent.
    std::uint32_t running = 0;      ///< Attempts running at the backend server.
    std::uint32_t queued = 0;       ///< Attempts waiting in the agent's queue.
    std::uint64_t memory_used = 0;  ///< Reserved memory, in tokens.
    std::uint64_t memory_total = 0; ///< Memory of the engine, in tokens.
    /// Queued work ahead of a new request of each length class, in tokens.
    std::array<std::uint64_t, length_class_count> backlog{};
    /// Measured prefill rate, in tokens per second.
    double prefill_rate = 0;

    bool operator==(const load_report&) const = default;
};

/// Evidence that a request crashes the backend servers that run it.
struct crash_record
{
    std::uint64_t fingerprint = 0; ///< Of the request.
    bool confirmed = false;        ///< It was the only request running there.

    bool operator==(const crash_record&) const = default;
};

} // namespace pistachiopost
