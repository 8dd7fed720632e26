/// \file
/// Chooses the backend servers of one attempt.
///
/// Long prompts and short ones get engines of their own, so that reading a long prompt
/// does not stretch the pauses of short answers. Short requests in flight decide how many
/// engines are left for long prompts; prompt_parts.hpp says how these share them.
#pragma once

#include "process/backend_record.hpp"
#include "process/load_account.hpp"
#include "version/route_table.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// The deciding facts of one attempt.
struct placement_request
{
    std::string_view service;
    std::uint32_t priority = 0;                ///< 0 is the most urgent.
    const engine_cost_model* engine = nullptr; ///< Null for a plain service.
    milliseconds tightest_gap{0}; ///< Shortest pause between events on any route.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    bool impatient = false; ///< It has waited long: takes fewer engines than it should.
    std::span<const std::string> excluded; ///< Backend servers that failed this request.
    std::span<const std::string> full; ///< Backend servers without memory to set aside.
};

/// One engine's share of an attempt.
struct placed_part
{
    backend_record backend;
    backend_load work;
    std::uint64_t reserved_tokens = 0; ///< Memory to set aside there for the prompt.
};

/// Where an attempt goes.
struct placement
{
    placed_part main;
    std::vector<placed_part> helpers; ///< Read parts of the prompt.
    double first_event_ms = 0;        ///< Expected time to the first event.
    std::size_t long_pool = 0;        ///< Engines for long prompts at that moment.
};

/// A backend server that may get work, with its load.
struct candidate
{
    const backend_record* backend = nullptr;
    backend_load load;
    bool trusted = true; ///< It answered since its last failure.
};

/// Returns whether `list` holds `name`.
bool names(std::span<const std::string> list, std::string_view name);

/// Returns whether reading this prompt on one engine would stretch a pause of the
/// tightest route too far.
bool is_long_read(const placement_request& request);

/// Returns how many of the candidates long prompts get: all that the short requests in
/// flight do not need.
std::size_t long_pool_size(std::span<const candidate> candidates);

/// Chooses among `candidates`, which stand in the common order; nothing if none has a
/// place. `zone` is this gateway's.
std::optional<placement> place(const placement_request& request,
                               std::span<const candidate> candidates,
                               std::string_view zone);

} // namespace pistachiopost
