/// \file
/// Concurrency limits of one backend server: slots, memory and prefill work.
#pragma once

#include "process/queue_ticket.hpp"

#include <array>
#include <unordered_map>

namespace pistachiopost {

/// Limits on the concurrent work of a backend server.
struct dispatch_limits
{
    std::uint32_t slots = 32;              ///< Maximum running attempts.
    std::uint64_t memory_tokens = 450'000; ///< Engine memory, in tokens.
    std::uint32_t max_queued = 512;        ///< Maximum queued attempts.
    /// Maximum prompt tokens in prefill, by class. One attempt of each class may
    /// always run.
    std::array<std::uint64_t, length_class_count> prefill_tokens{16'000, 32'000, 100'000,
                                                                 100'000};
    /// Maximum running attempts, by class.
    std::array<std::uint32_t, length_class_count> running{32, 24, 8, 3};
    /// Maximum share of the memory for prompts over 32,000 tokens.
    double long_memory_share = 0.85;
    double prefill_rate = 250'000;   ///< Tokens per second until measured.
    milliseconds token_interval{15}; ///< Assumed time between output tokens.
};

/// Tracks the running attempts of one backend server against its limits.
class dispatch_window
{
public:
    explicit dispatch_window(const dispatch_limits& limits);

    /// Returns whether the attempt fits beside the running ones. `reserve` tokens of
    /// memory are reserved for a waiting attempt; prompts under 32,000 tokens may
    /// still use them.
    [[nodiscard]] bool fits(const queue_ticket& ticket, std::uint64_t reserve = 0) const;
    /// Returns whether the attempt fits into the whole memory of the server.
    [[nodiscard]] bool can_ever_fit(const queue_ticket& ticket) const;
    /// Counts an attempt as running since `now`.
    void start(const queue_ticket& ticket, time_point now);
    /// Returns the latest start time at which the attempt finishes before its deadline
    /// if shorter prompts take `busy_share` of the engine's time.
    [[nodiscard]] time_point latest_start(const queue_ticket& ticket,
                                          double busy_share) const;
    /// Returns the duration of `prefill` if shorter prompts take `busy_share` of the
    /// engine's time.
    static milliseconds prefill_time_under_load(milliseconds prefill, double busy_share);
    /// Returns the prefill time of `tokens` on an otherwise idle engine.
    [[nodiscard]] milliseconds prefill_time(std::uint64_t tokens) const;
    /// Returns the time to generate the attempt's output tokens.
    [[nodiscard]] milliseconds generation_time(const queue_ticket& ticket) const;
    /// Marks the attempt's prefill as finished and updates the prefill rate.
    void on_first_token(ticket_id id, time_point now);
    /// Removes a running attempt.
    void on_finished(ticket_id id, time_point now);

    /// Returns the unfinished prefill of classes up to `prompt_class`, in tokens.
    [[nodiscard]] std::uint64_t unfinished_prefill(length_class prompt_class) const;
    /// Returns the number of running attempts.
    [[nodiscard]] std::uint32_t running() const;
    /// Returns the memory reserved by running attempts, in tokens.
    [[nodiscard]] std::uint64_t memory_used() const { return memory_used_; }
    /// Returns the measured prefill rate, in tokens per second.
    [[nodiscard]] double prefill_rate() const { return prefill_rate_; }
    /// Returns the moving average of the time an attempt holds its slot.
    [[nodiscard]] milliseconds mean_slot_time() const;
    /// Returns the current limits.
    [[nodiscard]] const dispatch_limits& limits() const { return limits_; }
    /// Sets the capacity reported by the backend server.
    void set_capacity(std::uint64_t memory_tokens, std::uint32_t slots,
                      double prefill_rate);

private:
    struct running_attempt
    {
        queue_ticket ticket;
        time_point started;
        bool prefilling = true;
    };

    dispatch_limits limits_;
    void note_prefill_started(time_point now);
    void note_prefill_ended(const queue_ticket& ticket, time_point now);

    std::unordered_map<ticket_id, running_attempt> attempts_;
    std::array<std::uint64_t, length_class_count> prefill_{};
    std::array<std::uint32_t, length_class_count> running_{};
    std::uint64_t memory_used_ = 0;
    std::uint64_t long_memory_used_ = 0;
    bool isolated_running_ = false;
    double prefill_rate_;
    double mean_slot_time_ms_ = 0;
    time_point busy_since_;            ///< Start of the current prefill interval.
    steady::duration busy_time_{0};    ///< Prefill time in the current sample.
    std::uint64_t sampled_tokens_ = 0; ///< Prefilled in the current sample.
};

} // namespace pistachiopost
