/// \file
/// Load of a deployment in overload: kinds of prompts, bursts, lost engines, and callers
/// that retry or leave. docs/design/hard-load.md has the figures.
#pragma once

#include "model/engine_model.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace pistachiopost::model {

/// One kind of prompt of the deployment.
struct overload_kind
{
    std::string_view name;
    double least_tokens; ///< Lengths are log-uniform between this and `most_tokens`.
    double most_tokens;
    double mean_tokens;
    std::uint64_t events; ///< Events per answer.
    double rate_per_s;
    double first_event_target_ms;
    double gap_target_ms;
    double deadline_ms; ///< For the complete answer.
    double worth;       ///< On time, at the mean length.
    double late_worth;
    std::uint32_t priority;
    bool resumable;
};

/// Returns the streams of the deployment, most urgent first.
const std::vector<overload_kind>& overload_kinds();
/// Returns the cost model of its engines.
engine_cost_model overload_engine();
/// Returns the factor by which the length of a prompt scales the worth of its kind.
double worth_factor(const overload_kind& kind, std::uint64_t tokens);
/// Returns the time without an event after which a caller of this kind leaves.
double patience_ms(const overload_kind& kind);

/// What a caller does when it is rejected. Each caller retries once.
enum class retry_manner
{
    honours_retry_after, ///< Waits as told, at most a third of the time it has left.
    at_once
};

/// One request of a caller, with its retry.
struct overload_call
{
    model_ms time = 0;
    std::size_t kind = 0;
    std::uint64_t tokens = 0;
    std::size_t customer = 0;
    retry_manner manner = retry_manner::honours_retry_after;
    model_ms leaves_at = 0; ///< When the caller gives up regardless; 0 if it does not.
};

/// A time in which some engines are lost.
struct engine_loss
{
    model_ms from = 0;
    model_ms until = 0;
    std::size_t first = 0; ///< The engines [first, first + count).
    std::size_t count = 0;
};

/// Parameters of one scene.
struct overload_scene
{
    std::uint64_t seed = 1;
    double seconds = 24;
    std::size_t engines = 54;
    std::size_t gateways = 6;
    double rate_factor = 1;  ///< Of all kinds.
    double burst_factor = 1; ///< Of all kinds in every second four seconds.
    double at_once_share = 0;
    double leaving_share = 0;
    std::vector<engine_loss> losses;
};

/// Bursts, callers of which half retry at once, a few that leave, and a third of the
/// engines lost for eight seconds.
overload_scene burst_scene(std::uint64_t seed);
/// A load without bursts that the engines can serve at any time.
overload_scene calm_scene(std::uint64_t seed);

/// Returns the calls of a scene by time, deterministic for its seed.
std::vector<overload_call> make_calls(const overload_scene& scene);

} // namespace pistachiopost::model
