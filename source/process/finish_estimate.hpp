/// \file
/// Predicts whether an attempt can end before its deadline.
#pragma once

#include "process/dispatch_window.hpp"
#include "process/queue_ticket.hpp"

#include <cstdint>
#include <limits>
#include <optional>

namespace pistachiopost {

/// Work that will be served before a new attempt.
struct work_ahead
{
    std::uint64_t prefill_tokens = 0;
    std::uint32_t attempts = 0;
    /// Share of the engine's time that shorter prompts, which pass, will take.
    double busy_share = 0;
    /// The most work that fair turns let pass, shorter prompts included, in tokens.
    std::uint64_t max_tokens_ahead = std::numeric_limits<std::uint64_t>::max() / 2;
};

/// Returns the expected wait for the first token behind `ahead`.
milliseconds expected_first_token(const dispatch_window& window, const work_ahead& ahead,
                                  std::uint64_t prompt_tokens);

/// Returns a refusal if the attempt cannot end before its deadline.
std::optional<refusal> refuse_if_late(const dispatch_window& window,
                                      const work_ahead& ahead, const queue_ticket& ticket,
                                      time_point now);

/// Returns a refusal if the attempt can never run here, or the queue is full.
std::optional<refusal> refuse_if_oversized(const dispatch_window& window,
                                           std::size_t queued,
                                           const queue_ticket& ticket);

} // namespace pistachiopost
