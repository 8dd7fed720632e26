/// \file
/// Selects the backend servers of one attempt.
///
/// Long and short prompts run on separate pools of engines, so that the prefill of a long
/// prompt does not increase the inter-event latency of short answers. The number of short
/// requests in flight determines the size of the pool for long prompts;
/// prompt_placement.hpp describes how prompts share a pool.
#pragma once

#include "process/membership/backend_record.hpp"
#include "process/placement/load_tracker.hpp"
#include "version/route_table.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// The inputs of a placement decision.
struct placement_request
{
    std::string_view service;
    std::uint32_t priority = 0;                ///< 0 is the most urgent.
    const engine_cost_model* engine = nullptr; ///< Null for a plain service.
    milliseconds tightest_gap{0}; ///< Smallest event gap target of all routes.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::uint64_t spread = 0;          ///< Hash that selects among equal backend servers.
    std::size_t gateways = 1;          ///< That place requests at the same time.
    bool accept_fewer_engines = false; ///< Set after a long time in the queue.
    bool requires_available = false; ///< No placement if all backend servers are ejected.
    std::span<const std::string> excluded; ///< Backend servers where this request failed.
    /// Regions of backend servers and helpers; all if there is no value.
    std::optional<std::span<const std::string>> regions;
    std::span<const std::string> full; ///< Backend servers that refused a reservation.
};

/// The part of an attempt that runs on one engine.
struct placement_part
{
    backend_record backend;
    backend_load work;
    std::uint64_t reserved_tokens = 0; ///< Memory to reserve there for the prompt.
};

/// The backend servers assigned to one attempt.
struct placement
{
    placement_part main;
    std::vector<placement_part> helpers; ///< Prefill or hold memory for the prompt.
    double first_event_ms = 0;           ///< Expected time to the first event.
    time_point granted_at{};             ///< When its load was counted.
    std::size_t long_pool = 0; ///< Size of the pool for long prompts at that time.
    /// A request that uses a cold backend server must not be sent later.
    time_point send_by = time_point::max();
};

/// Whether a backend server has just started, and may get a request all the same.
enum class cold_state
{
    warm,
    cold,    ///< Slow, but this gateway may send it a request.
    withheld ///< It gets no request of this gateway now.
};

/// An eligible backend server with its current load.
struct placement_candidate
{
    const backend_record* backend = nullptr;
    backend_load load;
    bool healthy = true; ///< Has responded successfully since its last failure.
    cold_state start = cold_state::warm;
};

/// Returns whether `list` contains `name`.
bool contains_id(std::span<const std::string> list, std::string_view name);

/// Returns whether the prefill of this prompt on a single engine would violate the event
/// gap target of the tightest route.
bool is_long_prefill(const placement_request& request);

/// Returns the size of the pool for long prompts: all candidates that the short requests
/// in flight do not need.
std::size_t long_pool_size(std::span<const placement_candidate> candidates);

/// Selects among `candidates`, given in the common order; nothing if there is no
/// capacity. `zone` is the availability zone of this gateway.
std::optional<placement> place(const placement_request& request,
                               std::span<const placement_candidate> candidates,
                               std::string_view zone);

} // namespace pistachiopost
