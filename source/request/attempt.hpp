/// \file
/// One attempt at a request: the order that an entry sends to an agent and the events
/// that the agent returns. They are encoded in connection/message_codec.
#pragma once

#include "request/refusal.hpp"
#include "request/request.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace pistachiopost {

/// Order from an entry to an agent to run one attempt.
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
    std::uint64_t resume_offset = 0; ///< Tokens already delivered to the caller.
    std::uint64_t fingerprint = 0;
    milliseconds remaining{0}; ///< Time left until the deadline.
    bool repeatable = true;
    bool isolated = false; ///< Runs alone: suspected of crashing backend servers.
    std::uint64_t reserved_tokens = 0; ///< Memory to reserve, or reserved at `members`.
    std::string members;               ///< Comma-separated memory locations of a group.
    std::uint64_t configuration_version = 0;
};

/// The attempt was passed to the backend server.
struct attempt_started
{
    std::string memory_location; ///< For a reservation: the engine that holds it.
};

/// Part of the answer. Offsets count tokens for completions and bytes for plain
/// services.
struct answer_chunk
{
    std::uint64_t offset = 0;
    std::uint64_t count = 0;
    std::string bytes;
};

/// End of a complete answer of `total` tokens or bytes.
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

/// Event that an agent reports about an attempt.
using attempt_event =
    std::variant<attempt_started, answer_chunk, answer_end, attempt_failed>;

/// Returns the order for attempt `number` at `req`. The remaining time counts from `now`.
attempt_order make_order(const request& req, std::uint32_t number,
                         std::uint64_t resume_offset, time_point now);

} // namespace pistachiopost
