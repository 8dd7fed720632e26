/// \file
/// One attempt at a request: the order an entry sends to an agent and the
/// events that come back. Encoding lives in connection/message_codec.
#pragma once

#include "request/refusal.hpp"
#include "request/request.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace pistachiopost {

/// What an entry asks of an agent.
struct attempt_order
{
    std::string attempt_id; ///< Request id plus attempt number.
    std::string customer;
    std::uint32_t weight = 1;
    work_kind kind = work_kind::completion;
    std::string target;
    std::string method;
    std::string path;
    std::string content_type;
    std::uint64_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::uint64_t resume_offset = 0; ///< Tokens the caller already has.
    std::uint64_t fingerprint = 0;
    milliseconds remaining{0}; ///< Time left until the deadline.
    bool repeatable = true;
    bool isolated = false;             ///< Suspected of crashing backend servers.
    std::uint64_t reserved_tokens = 0; ///< Memory to hold, or held by `members`.
    std::string members;               ///< Places of a group's memory, by comma.
    std::uint64_t configuration_version = 0;
};

/// The attempt was handed to the backend server.
struct attempt_started
{
    std::string memory_location; ///< For a reservation: where the memory is held.
};

/// A piece of the answer. Offsets count tokens for completions and bytes for
/// plain services.
struct answer_chunk
{
    std::uint64_t offset = 0;
    std::uint64_t count = 0;
    std::string bytes;
};

/// The answer is complete and `total` units long.
struct answer_end
{
    std::uint64_t total = 0;
    int status = 200;
    std::string content_type;
};

/// The attempt ended without a complete answer.
struct attempt_failed
{
    refusal cause;
};

/// Anything an agent reports about an attempt.
using attempt_event =
    std::variant<attempt_started, answer_chunk, answer_end, attempt_failed>;

/// Returns the order for attempt number `number` at `req`, `now`.
attempt_order make_order(const request& req, std::uint32_t number,
                         std::uint64_t resume_offset, time_point now);

} // namespace pistachiopost
