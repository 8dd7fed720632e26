/// \file
/// What one backend server may hold at once: slots, memory and prefill work.
#pragma once

#include "process/queue_ticket.hpp"

#include <array>
#include <unordered_map>

namespace pistachiopost {

/// Bounds on the work handed to a backend server at once.
struct dispatch_limits
{
    std::uint32_t slots = 32;              ///< Attempts running at once.
    std::uint64_t memory_tokens = 450'000; ///< Engine memory.
    std::uint32_t max_queued = 512;        ///< Attempts waiting at once.
    /// Prompt tokens handed over but not yet answered by a first token. One
    /// attempt of each class may always run.
    std::array<std::uint64_t, length_class_count> prefill_tokens{16'000, 32'000, 100'000,
                                                                 100'000};
    /// Attempts running at once, by class.
    std::array<std::uint32_t, length_class_count> running{32, 24, 8, 3};
    /// Share of the memory that prompts over 32,000 tokens may hold.
    double long_memory_share = 0.85;
    double prefill_rate = 250'000;   ///< Assumed until measured, tokens a second.
    milliseconds token_interval{15}; ///< Assumed time between generated tokens.
};

/// Accounts for what runs at one backend server.
class dispatch_window
{
public:
    explicit dispatch_window(const dispatch_limits& limits);

    /// Returns whether the attempt fits beside those that run. `reserve` tokens of
    /// memory are reserved for a waiting attempt; prompts under 32,000
    /// tokens may still use them.
    [[nodiscard]] bool fits(const queue_ticket& ticket, std::uint64_t reserve = 0) const;
    /// Returns whether the attempt could ever run here.
    [[nodiscard]] bool can_ever_fit(const queue_ticket& ticket) const;
    /// Counts an attempt as running since `now`.
    void start(const queue_ticket& ticket, time_point now);
    /// Returns the last moment at which the attempt can start and still end before
    /// its deadline, while shorter prompts take `busy_share` of the engine's time.
    [[nodiscard]] time_point latest_start(const queue_ticket& ticket,
                                          double busy_share) const;
    /// Returns how long `prefill` takes when it gets only what `busy_share` leaves.
    static milliseconds prefill_time_under_load(milliseconds prefill, double busy_share);
    /// Returns the time the engine needs to prefill `tokens` with nothing beside.
    [[nodiscard]] milliseconds prefill_time(std::uint64_t tokens) const;
    /// Returns the time the engine needs to generate the attempt's answer.
    [[nodiscard]] milliseconds generation_time(const queue_ticket& ticket) const;
    /// Counts the attempt's prefill as finished; learns the prefill rate.
    void on_first_token(ticket_id id, time_point now);
    /// Removes a running attempt.
    void on_finished(ticket_id id, time_point now);

    /// Returns unfinished prefill of classes up to `prompt_class`, in tokens.
    [[nodiscard]] std::uint64_t unfinished_prefill(length_class prompt_class) const;
    /// Returns the number of running attempts.
    [[nodiscard]] std::uint32_t running() const;
    /// Returns the memory reserved by running attempts, in tokens.
    [[nodiscard]] std::uint64_t memory_used() const { return memory_used_; }
    /// Returns the measured prefill rate, in tokens a second.
    [[nodiscard]] double prefill_rate() const { return prefill_rate_; }
    /// Returns the mean time an attempt holds its slot.
    [[nodiscard]] milliseconds mean_slot_time() const;
    /// Returns the bounds in force.
    [[nodiscard]] const dispatch_limits& limits() const { return limits_; }
    /// Replaces what the backend server said of itself.
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
    time_point busy_since_;            ///< Since when some prefill is unfinished.
    steady::duration busy_time_{0};    ///< In the sample under way.
    std::uint64_t sampled_tokens_ = 0; ///< Prefilled in the sample under way.
};

} // namespace pistachiopost
