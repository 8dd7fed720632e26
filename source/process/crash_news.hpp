/// \file
/// What gateways tell each other about suspects of crashes.
#pragma once

#include "request/time_types.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace pistachiopost {

/// What of a request may crash the backend servers that answer it.
enum class suspect_kind : std::uint8_t
{
    request,    ///< The whole request: path, customer and body.
    prompt_part ///< A part of its prompt that other requests may hold too.
};

/// Identifies a suspect across requests and gateways.
struct suspect
{
    std::uint64_t id = 0; ///< Fingerprint of the request, or id of the part.
    suspect_kind kind = suspect_kind::request;

    bool operator==(const suspect&) const = default;
    bool operator<(const suspect& other) const
    {
        return std::tie(id, kind) < std::tie(other.id, other.kind);
    }
};

/// One crash. A backend server may keep its id when it starts again.
struct backend_crash
{
    std::string backend;
    std::int64_t start_time_ms = 0; ///< Of the incarnation, Unix time; 0 if unknown.

    bool operator==(const backend_crash&) const = default;
    bool operator<(const backend_crash& other) const
    {
        return std::tie(backend, start_time_ms) <
               std::tie(other.backend, other.start_time_ms);
    }
};

/// A crash in which a suspect was involved.
struct crash_report
{
    suspect subject;
    backend_crash crash;
    bool answer_begun = true; ///< The backend server had begun to answer.
    milliseconds age{0};      ///< Since the crash.

    bool operator==(const crash_report&) const = default;
};

/// A suspect whose requests are refused.
struct block_report
{
    suspect subject;
    milliseconds remaining{0}; ///< Until the block ends.

    bool operator==(const block_report&) const = default;
};

/// A successful answer that clears a suspect.
struct clearance_report
{
    suspect subject;
    milliseconds age{0}; ///< Since the answer.

    bool operator==(const clearance_report&) const = default;
};

/// The part of a load report that is about suspects.
struct crash_news
{
    std::vector<crash_report> crashes;
    std::vector<block_report> blocks;
    std::vector<clearance_report> clearances;

    bool operator==(const crash_news&) const = default;
};

} // namespace pistachiopost
