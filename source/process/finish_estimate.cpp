#include "process/finish_estimate.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pistachiopost {

namespace {

constexpr milliseconds deadline_margin{50};

milliseconds slot_wait(const dispatch_window& window, std::uint32_t attempts_ahead)
{
    const auto slots = window.limits().slots;
    if (window.running() + attempts_ahead < slots)
    {
        return milliseconds{0};
    }
    return window.mean_slot_time() * (attempts_ahead + 1) / std::max(slots, 1U);
}

} // namespace

milliseconds expected_first_token(const dispatch_window& window, const work_ahead& ahead,
                                  std::uint64_t prompt_tokens)
{
    const auto prefill = window.prefill_time(ahead.prefill_tokens + prompt_tokens);
    const auto under_load =
        dispatch_window::prefill_time_under_load(prefill, ahead.busy_share);
    const auto fair_bound = window.prefill_time(ahead.max_tokens_ahead + prompt_tokens);
    return std::max(std::min(under_load, fair_bound), slot_wait(window, ahead.attempts));
}

std::optional<refusal> refuse_if_late(const dispatch_window& window,
                                      const work_ahead& ahead, const queue_ticket& ticket,
                                      time_point now)
{
    const auto generation = window.generation_time(ticket);
    const auto needed = expected_first_token(window, ahead, ticket.prompt_tokens) +
                        generation + deadline_margin;
    const auto left = ceil_milliseconds(ticket.deadline - now);
    if (needed <= left)
    {
        return std::nullopt;
    }
    const auto unqueued =
        window.prefill_time(ticket.prompt_tokens) + generation + deadline_margin;
    return refusal{
        refusal_reason::deadline_too_short, run_state::not_run,
        fmt::format("needs about {} ms here, {} ms are left; allow more time or "
                    "retry later",
                    needed.count(), left.count()),
        unqueued <= left ? std::max(needed - left, milliseconds{100}) : milliseconds{0}};
}

std::optional<refusal> refuse_if_oversized(const dispatch_window& window,
                                           std::size_t queued, const queue_ticket& ticket)
{
    if (!window.can_ever_fit(ticket))
    {
        return refusal{
            refusal_reason::too_large, run_state::not_run,
            fmt::format("needs {} tokens of memory, this backend server has {}",
                        ticket.memory(), window.limits().memory_tokens)};
    }
    if (queued >= window.limits().max_queued)
    {
        return refusal{refusal_reason::queue_full, run_state::not_run,
                       "the queue of the backend server is full; retry later",
                       std::max(window.mean_slot_time(), milliseconds{100})};
    }
    return std::nullopt;
}

} // namespace pistachiopost
