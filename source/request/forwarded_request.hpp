/// \file
/// A caller's request as the gateway passes it on.
#pragma once

#include "request/time_types.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace pistachiopost {

/// What a caller says of its prompt.
struct prompt_size
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_output_tokens = 0;
    std::optional<std::uint64_t> expected_output_tokens; ///< The caller's estimate.
};

/// The facts of a request that decisions need.
struct forwarded_request
{
    std::string id; ///< Of this attempt of the caller.
    std::string host;
    std::string path;
    std::string key;                     ///< Names the customer.
    std::optional<milliseconds> timeout; ///< How long the caller waits.
    std::optional<prompt_size> prompt;
    std::optional<std::string> last_event_id; ///< The caller has events up to this one.
};

/// How an answer of a backend server is to be taken.
enum class answer_kind
{
    success,     ///< The backend server's own success.
    failure,     ///< The backend server ran the request and failed.
    not_run,     ///< The backend server says that it did not run the request.
    misdirected, ///< Another backend server has the address; not run.
    mismatched,  ///< Belongs to another request.
    untrusted    ///< Lacks what a backend server's own answer carries.
};

} // namespace pistachiopost
