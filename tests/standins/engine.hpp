/// \file
/// Simulated model engine: continuous batching in steps, limited memory, a prefix
/// cache, priorities, streams that outlive their connection, and injected faults.
#pragma once

#include "request/time_types.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pistachiopost::standins {

/// Capacity and timing of a simulated engine.
struct engine_options
{
    std::uint64_t memory_tokens = 450'000;
    std::uint32_t slots = 32;
    std::uint64_t step_tokens = 4'096; ///< Prompt tokens prefilled per step.
    double prefill_rate = 400'000;     ///< Tokens per second.
    microseconds step_base{3'000};
    microseconds step_per_stream{60}; ///< Added per generating stream.
    std::size_t cached_blocks = 200;  ///< Prefix cache size, in blocks of 1,000 tokens.
};

/// One stream or memory reservation on the engine.
struct engine_job
{
    std::string id;
    std::string owner;
    int priority = 0;
    std::uint64_t arrival = 0;
    std::uint64_t seed = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t prefill_remaining = 0;
    std::uint64_t first_offset = 0; ///< Offset at which the output starts.
    std::uint64_t next_offset = 0;  ///< Offset of the next output token.
    std::uint64_t output_tokens = 0;
    bool poisonous = false;
    bool admitted = false;
    bool cancelled = false;
    bool wrong_id = false;        ///< Its events carry the id of another request.
    bool reservation = false;     ///< Holds memory without generating output.
    bool prefill_started = false; ///< A reservation that prefills its part of the prompt.
    bool kv_imported = true;      ///< The KV parts of the group have been received.
    std::uint64_t held_elsewhere = 0; ///< Tokens held by other engines of the group.

    /// Returns whether the next step can make progress on it.
    [[nodiscard]] bool active() const
    {
        return reservation ? prefill_remaining > 0
                           : next_offset < output_tokens &&
                                 (kv_imported || prefill_remaining > 0);
    }
    /// Returns the memory it occupies on this engine, in tokens.
    [[nodiscard]] std::uint64_t memory() const
    {
        return prompt_tokens + output_tokens - held_elsewhere;
    }
};

/// Simulated engine. Thread-safe.
class engine
{
public:
    explicit engine(engine_options options);

    /// Adds a stream for `prompt`. Returns null if it exceeds the engine's memory.
    std::shared_ptr<engine_job> add(engine_job job, std::string_view prompt);
    /// Reserves memory. Returns false if there is not enough free memory.
    bool reserve(const std::string& id, const std::string& owner, std::uint64_t tokens);
    /// Starts prefilling the part of a prompt that belongs to a reservation. Returns
    /// its number of tokens, 0 for an unknown reservation.
    std::uint64_t start_prefill(std::string_view id);
    /// Waits until that part is prefilled. Returns its number of tokens, 0 for an
    /// unknown or cancelled reservation.
    std::uint64_t wait_prefilled(std::string_view id);
    /// Records that the KV parts of the group have been received.
    void mark_kv_imported(engine_job& job);
    /// Waits until the stream has produced more than `sent` tokens or is cancelled.
    /// Returns the number produced, or `sent` if cancelled.
    std::uint64_t wait_for_more(const engine_job& job, std::uint64_t sent);
    /// Removes a stream or reservation and frees its memory.
    void cancel(std::string_view id);
    /// Returns the state as JSON.
    std::string state_json();
    /// Applies the faults in a JSON object: die, hang, slow, crossed. Throws on invalid
    /// JSON.
    void set_faults(std::string_view json);
    /// Runs steps; does not return.
    void run_steps();

private:
    std::vector<std::shared_ptr<engine_job>> admit();
    microseconds plan_step(std::vector<std::shared_ptr<engine_job>>& batch,
                           std::unordered_map<const engine_job*, std::uint64_t>& prefill);
    void finish_step(const std::unordered_map<const engine_job*, std::uint64_t>& prefill);
    std::uint64_t cached_tokens(std::string_view prompt);

    engine_options options_;
    std::string boot_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::shared_ptr<engine_job>, std::less<>> jobs_;
    std::unordered_map<std::uint64_t, std::uint64_t> cache_; ///< Last use by block hash.
    std::uint64_t logical_clock_ = 0;
    std::uint64_t memory_used_ = 0;
    std::uint64_t cached_tokens_used_ = 0;
    std::map<std::string, std::uint64_t> starts_; ///< Streams started per request.
    double slowdown_factor_ = 1;
    bool hung_ = false;
    int wrong_id_count_ = 0;
};

/// Serves an engine on `address`:`port`; does not return.
int run_engine(std::string_view address, std::uint16_t port,
               const engine_options& options);

} // namespace pistachiopost::standins
