/// \file
/// A caller's request as decoded by the gateway.
#pragma once

#include "request/time_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiopost {

/// Prompt size as stated by the caller.
struct prompt_size
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    std::optional<std::uint64_t> expected_output_tokens; ///< The caller's estimate.
};

/// Properties of a request that routing and retries depend on.
struct forwarded_request
{
    std::string id; ///< Unique for each attempt of the caller.
    std::string host;
    std::string path;
    std::string key;                     ///< API key that identifies the customer.
    std::optional<milliseconds> timeout; ///< How long the caller waits.
    std::optional<prompt_size> prompt;
    /// Ids of the parts of the prompt that other requests may hold too, in order.
    std::vector<std::uint64_t> shared_parts;
    std::optional<std::string> last_event_id; ///< Last event received.
};

/// Classification of a backend server's answer.
enum class answer_kind
{
    success,     ///< Successful answer, proven to come from the backend server.
    failure,     ///< The backend server ran the request and it failed.
    not_run,     ///< The backend server states that it did not run the request.
    misdirected, ///< The address belongs to another backend server; not run.
    mismatched,  ///< The answer carries the id of another request.
    untrusted    ///< Lacks the headers that a backend server sets on its answers.
};

} // namespace pistachiopost
