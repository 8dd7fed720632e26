/// \file
/// Stand-in for a model engine: continuous batching in steps, limited memory,
/// prefix cache, priorities, streams that outlive their connection, faults.
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

/// How an engine behaves.
struct engine_options
{
    std::uint64_t memory_tokens = 450'000;
    std::uint32_t slots = 32;
    std::uint64_t step_tokens = 4'096; ///< Prompt tokens prefilled in one step.
    double prefill_rate = 400'000;     ///< Tokens a second.
    microseconds step_base{3'000};
    microseconds step_per_stream{60}; ///< Added for each generating stream.
    std::size_t cached_blocks = 200;  ///< Prefix blocks of 1,000 tokens.
};

/// One stream at the engine.
struct engine_job
{
    std::string id;
    std::string owner;
    int priority = 0;
    std::uint64_t arrival = 0;
    std::uint64_t seed = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t left_to_prefill = 0;
    std::uint64_t first = 0;    ///< Offset asked for.
    std::uint64_t produced = 0; ///< Next offset.
    std::uint64_t total = 0;
    bool poisonous = false;
    bool admitted = false;
    bool cancelled = false;
    bool crossed = false;     ///< Its events carry another id.
    bool reservation = false; ///< Holds memory only.
    bool prefills = false;    ///< A reservation that reads its part of the prompt.
    bool imported = true;     ///< The parts of the group are there.
    std::uint64_t held_elsewhere = 0; ///< Memory held by other engines of the group.

    /// Returns whether steps can carry it further.
    [[nodiscard]] bool active() const
    {
        return reservation ? left_to_prefill > 0
                           : produced < total && (imported || left_to_prefill > 0);
    }
    /// Returns the memory it takes here.
    [[nodiscard]] std::uint64_t memory() const
    {
        return prompt_tokens + total - held_elsewhere;
    }
};

/// The engine. Thread-safe.
class engine
{
public:
    explicit engine(engine_options options);

    /// Adds a stream for `prompt`; null if it can never fit.
    std::shared_ptr<engine_job> add(engine_job job, std::string_view prompt);
    /// Holds memory; returns whether there was room.
    bool reserve(const std::string& id, const std::string& owner, std::uint64_t tokens);
    /// Starts to read the part of a prompt that belongs to a reservation; returns
    /// its tokens, 0 if there is none.
    std::uint64_t prefill_reserved(std::string_view id);
    /// Waits until that part is read; returns its tokens, 0 if there is none.
    std::uint64_t reserved(std::string_view id);
    /// Says that the parts of the group have arrived.
    void mark_imported(engine_job& job);
    /// Waits until the stream has more than `sent` tokens or ends; returns the
    /// number produced.
    std::uint64_t wait_for_more(const engine_job& job, std::uint64_t sent);
    /// Ends a stream and frees its memory.
    void cancel(std::string_view id);
    /// Returns the state as JSON.
    std::string state_json();
    /// Applies faults given as JSON: die, hang, slow, crossed. Throws on bad JSON.
    void set_faults(std::string_view json);
    /// Runs steps for ever.
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
    std::unordered_map<std::uint64_t, std::uint64_t> cache_; ///< Block hash to last use.
    std::uint64_t clock_ = 0;
    std::uint64_t memory_used_ = 0;
    std::uint64_t cache_hits_ = 0;
    std::map<std::string, std::uint64_t> starts_; ///< Streams started by request.
    double slow_ = 1;
    bool hang_ = false;
    int cross_next_ = 0;
};

/// Serves an engine on `address`:`port` for ever.
int run_engine(std::string_view address, std::uint16_t port,
               const engine_options& options);

} // namespace pistachiopost::standins
