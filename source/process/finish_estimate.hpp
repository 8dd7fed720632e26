/// \file
/// Admission checks: estimates whether an attempt can finish before its deadline.
#pragma once

#include "process/dispatch_window.hpp"
#include "process/queue_ticket.hpp"

#include <cstdint>
#include <limits>
#include <optional>

namespace pistachiopost {

/// Work served before a new attempt.
struct work_ahead
{
    std::uint64_t prefill_tokens = 0;
    std::uint32_t attempts = 0;
    /// Share of the engine's time taken by shorter prompts that arrive later.
    double busy_share = 0;
    /// Upper bound by fair queueing, in tokens, shorter prompts that arrive later
    /// included.
    std::uint64_t max_tokens_ahead = std::numeric_limits<std::uint64_t>::max() / 2;
};

/// Returns the expected time to the first token behind `ahead`.
milliseconds expected_first_token(const dispatch_window& window, const work_ahead& ahead,
                                  std::uint64_t prompt_tokens);

/// Returns a refusal if the attempt cannot finish before its deadline.
std::optional<refusal> refuse_if_late(const dispatch_window& window,
                                      const work_ahead& ahead, const queue_ticket& ticket,
                                      time_point now);

/// Returns a refusal if the attempt exceeds the server's memory or the queue is full.
std::optional<refusal> refuse_if_oversized(const dispatch_window& window,
                                           std::size_t queued,
                                           const queue_ticket& ticket);

} // namespace pistachiopost
