/// \file
/// Simulated load: kinds of prompts whose rates peak alternately.
#pragma once

#include "model/engine_model.hpp"

#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

namespace pistachiopost::model {

/// One kind of prompt, with the parameters of the users' load description.
struct prompt_kind
{
    std::string_view name;
    double mean_tokens;     ///< Mean; lengths range from 0.35 to 2.4 times the mean.
    std::uint64_t events;   ///< Events per answer.
    double mean_rate_per_s; ///< Mean rate for 16 engines.
    double first_event_target_ms; ///< Target time to the first event.
    double gap_target_ms;         ///< Target for the longest gap between events.
    double worth;                 ///< Score of an answer on time.
    double late_worth;            ///< Score of a late answer.
    double peak_factor;           ///< Rate at the peak, relative to the mean.
};

/// Returns the kinds: single queries, whole logs and whole dossiers.
const std::vector<prompt_kind>& prompt_kinds();

/// One prompt of the load.
struct arrival
{
    model_ms time = 0;
    std::size_t kind = 0;
    std::uint64_t tokens = 0;
    std::size_t customer = 0;
    std::size_t gateway = 0;
};

/// Number of customers; half of the requests are drawn from the first three alone.
inline constexpr std::size_t customer_count = 10;

/// Returns a load of `seconds` scaled to `engines` engines, deterministic for a seed.
/// Short and long prompts peak alternately for four seconds each.
std::vector<arrival> make_load(std::uint64_t seed, double seconds, std::size_t engines,
                               std::size_t gateways);

} // namespace pistachiopost::model
