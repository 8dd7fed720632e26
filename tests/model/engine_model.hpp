/// \file
/// Simulated model engine: batched passes, chunked prefill, helpers, memory limits.
///
/// Timing follows the platform's data sheets, as in the product's struct
/// engine_cost_model. Queued reservations, stalls and restarts are not modelled.
#pragma once

#include "request/time_types.hpp"
#include "version/route_table.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace pistachiopost::model {

/// Simulated time, in milliseconds from the start.
using model_ms = double;

/// A request, with its prompt and answer, on its main engine.
struct job
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::uint64_t reserved_tokens = 0; ///< Tokens reserved on its main engine.
    std::size_t pending_parts = 0;     ///< Prompt parts not read yet, on all engines.
    bool cancelled = false;
    /// Called for each event, including the last one.
    std::function<void(model_ms)> on_event;
    /// Called once, when the answer is complete.
    std::function<void(model_ms)> on_done;

    std::uint64_t generated_tokens = 0;
};

/// One engine. It admits and drops requests only between passes.
class engine
{
public:
    explicit engine(const engine_cost_model& parameters) : parameters_(parameters) {}

    /// Queues a request on its main engine; it starts once a slot and memory are free.
    void add(std::shared_ptr<job> it);
    /// Queues a part of a prompt whose main engine is this one or another one.
    void add_prompt_part(std::shared_ptr<job> it, std::uint64_t tokens,
                         double attention_ms, bool for_other_engine);
    /// Runs one pass from `now` on and returns its duration, 0 if there is no work.
    model_ms run_pass(model_ms now);

private:
    struct prompt_part
    {
        std::shared_ptr<job> owner;
        double tokens;
        double attention_ms; ///< Attention time, spread evenly over the tokens.
    };

    void admit();
    [[nodiscard]] double prefill(double budget,
                                 std::vector<std::shared_ptr<job>>& finished);
    [[nodiscard]] double decode_step_ms() const;

    const engine_cost_model& parameters_;
    std::list<std::shared_ptr<job>> waiting_;
    std::list<std::shared_ptr<job>> running_; ///< Hold a slot; in prefill or decoding.
    std::list<prompt_part> parts_;            ///< Parts for other engines come first.
};

} // namespace pistachiopost::model
