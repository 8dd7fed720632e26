/// \file
/// Scheduling properties of an attempt, and the interface of queue disciplines.
#pragma once

#include "request/length_class.hpp"
#include "request/refusal.hpp"
#include "request/time_types.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachiopost {

/// Identifier of a queued or running attempt, unique within one agent.
using ticket_id = std::uint64_t;

/// Scheduling properties of one attempt.
struct queue_ticket
{
    ticket_id id = 0;
    std::string customer;
    std::uint32_t weight = 1;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    time_point deadline;
    bool isolated = false;             ///< Suspected of crashes; one runs at a time.
    std::uint64_t reserved_tokens = 0; ///< Memory reserved for another engine's prompt.
    std::uint64_t remote_tokens = 0;   ///< Memory reserved on other engines for this one.
    time_point queued_at;

    /// Returns the prompt length class.
    [[nodiscard]] length_class size_class() const
    {
        return classify(prompt_tokens + reserved_tokens);
    }
    /// Returns the memory needed on this engine, in tokens.
    [[nodiscard]] std::uint64_t memory() const
    {
        const auto whole = prompt_tokens + output_tokens + reserved_tokens;
        return whole - std::min(whole, remote_tokens);
    }
    /// Returns the scheduling cost, in tokens.
    [[nodiscard]] std::uint64_t cost() const
    {
        return work_cost(prompt_tokens, output_tokens);
    }
};

/// Decides the order in which waiting attempts start. Not thread-safe; the caller
/// holds a lock.
template <typename Queue>
concept queue_discipline = requires(Queue& it, const Queue& fixed,
                                    const queue_ticket& ticket, ticket_id id,
                                    time_point now)
{
    {
        fixed.check_admission(ticket, now)
        } -> std::same_as<std::optional<refusal>>;
    it.push(ticket, now);
    {
        it.take(now)
        } -> std::same_as<std::optional<ticket_id>>;
    it.on_first_token(id, now);
    it.on_finished(id, now);
    {
        it.erase(id)
        } -> std::same_as<bool>;
    {
        it.expired(now)
        } -> std::same_as<std::vector<ticket_id>>;
    {
        fixed.next_expiry(now)
        } -> std::same_as<std::optional<time_point>>;
};

} // namespace pistachiopost
