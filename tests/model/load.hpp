/// \file
/// The load of the model: kinds of prompts whose rates swing against each other.
#pragma once

#include "model/engine_model.hpp"

#include <cstdint>
#include <random>
#include <string_view>
#include <vector>

namespace pistachiopost::model {

/// One kind of prompt, with the figures of the users' sheets.
struct prompt_kind
{
    std::string_view name;
    double tokens;        ///< Mean; lengths spread from half to four times of it.
    std::uint64_t events; ///< Of the answer.
    double per_second;    ///< Mean rate for sixteen engines.
    double target_ms;     ///< To the first event.
    double pause_ms;      ///< Longest between events.
    double worth;         ///< Of an answer on time.
    double late_worth;    ///< Of a later one.
    double swing;         ///< Factor at its crest; the other kinds are at their trough.
};

/// Single queries, whole logs and whole dossiers.
const std::vector<prompt_kind>& prompt_kinds();

/// One prompt of the load.
struct arrival
{
    model_ms at = 0;
    std::size_t kind = 0;
    std::uint64_t tokens = 0;
    std::size_t customer = 0;
    std::size_t gateway = 0;
};

/// Number of customers; the first three send half of all.
inline constexpr std::size_t customers = 10;

/// Returns the load of `seconds` for `engines` engines, always the same for a seed.
/// Crests of short and of long prompts take turns of four seconds.
std::vector<arrival> make_load(std::uint64_t seed, double seconds, std::size_t engines,
                               std::size_t gateways);

} // namespace pistachiopost::model
