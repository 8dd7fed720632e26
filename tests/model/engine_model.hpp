/// \file
/// A model engine in simulated time: passes, chunked reading, helpers, memory.
///
/// The arithmetic is that of the platform's sheets, which stand in engine_cost_model of
/// the product. Not modelled: reservations that wait, stalls, restarts.
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

/// A prompt and its answer as one engine sees them.
struct job
{
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::uint64_t memory_here = 0; ///< Tokens that its main engine holds for it.
    std::size_t parts_left = 0;    ///< Parts of the prompt that are not read yet.
    bool cancelled = false;
    /// Called at each event, the last one included.
    std::function<void(model_ms)> event;
    /// Called once, when the answer is whole.
    std::function<void(model_ms)> done;

    std::uint64_t written = 0;
};

/// One engine. It works in passes; between them it takes and drops work.
class engine
{
public:
    explicit engine(const engine_cost_model& sheet) : sheet_(sheet) {}

    /// Gives a whole request to its main engine; it begins once there is a slot and
    /// memory.
    void add(std::shared_ptr<job> it);
    /// Gives a part of a prompt to read, for a job of this engine or of another one.
    void read_part(std::shared_ptr<job> it, std::uint64_t tokens, double pairs_ms,
                   bool for_another);
    /// Runs one pass that starts at `now`; returns its length, 0 if there is no work.
    model_ms pass(model_ms now);

private:
    struct part
    {
        std::shared_ptr<job> owner;
        double tokens;
        double pairs_ms; ///< Time of its share of the pairs, spread over its tokens.
    };

    void admit();
    [[nodiscard]] double read(double budget, std::vector<std::shared_ptr<job>>& finished);
    [[nodiscard]] double step_ms() const;

    const engine_cost_model& sheet_;
    std::list<std::shared_ptr<job>> waiting_;
    std::list<std::shared_ptr<job>> running_; ///< With a slot; reading or writing.
    std::list<part> parts_;                   ///< Those for other engines first.
};

} // namespace pistachiopost::model
