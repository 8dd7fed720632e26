#include "process/placement/prompt_placement.hpp"

#include "process/placement/candidate_choice.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace pistachiopost {

namespace {

// Target prefill time per engine, in milliseconds. Together with one decoding pass it
// stays below the event gap of a quarter second that short answers allow.
constexpr double target_part_ms = 150;
// Maximum prefill time per engine, in milliseconds. Two in succession keep the first
// event of a long prompt within its usual target of three seconds.
constexpr double max_part_ms = 1'000;
// Largest share of a pool that a prompt waits for, regardless of the size of its parts.
constexpr double max_awaited_pool_share = 0.8;
// Share of the target number of engines below which a prompt waits for more.
constexpr double min_parts_share = 0.3;
// Limit of the engines on the number of helpers for one prompt.
constexpr std::size_t max_helpers = 16;
// Engines with a larger prefill backlog get no further prompt, because successive
// prefills add up to one long event gap. Two parts keep an engine busy until the next
// load report of the peers.
constexpr double max_backlog_ms = 120;
// Long prompts that one engine runs concurrently. With more, decoding steps over their
// contexts take longer than the event gap of half a second that the shorter ones allow.
constexpr std::uint32_t max_long_decodes = 6;
// Cost of using another availability zone, in milliseconds: two round trips and the price
// of the traffic.
constexpr double cross_zone_cost_ms = 10;
// Cost of a cold engine, in milliseconds: it gets a prompt only if the others have a
// backlog of two thirds of the largest one more.
constexpr double cold_cost_ms = 80;
// Cost of a full engine over an empty one, in milliseconds: a slot more weighs as much as
// a fifth of a short prefill.
constexpr double full_engine_cost_ms = 50;
// Engines whose cost differs by less are equal, in milliseconds: two slots, or half of a
// short prefill.
constexpr double equal_cost_ms = 10;
// Share of an engine's free memory that may be reserved for one prompt. The rest covers
// requests of other gateways that have not been reported yet.
constexpr double reservable_share = 0.85;
// A smaller reservation does not justify a separate call to the engine.
constexpr std::uint64_t min_reservation_tokens = 2'048;

std::uint64_t required_memory(const placement_request& request)
{
    return request.prompt_tokens + request.output_tokens;
}

std::uint64_t free_memory(const placement_request& request, const placement_candidate& it)
{
    const auto total = request.engine->memory_tokens;
    return total - std::min(total, it.load.memory_tokens);
}

bool has_room(const placement_request& request, const placement_candidate& it)
{
    return has_free_slot(it) && required_memory(request) <= free_memory(request, it);
}

double pass_ms_with(const placement_request& request, const placement_candidate& it)
{
    return request.engine->pass_ms(it.load.requests + 1, it.load.memory_tokens);
}

double run_cost_ms(const placement_request& request, const placement_candidate& it,
                   std::string_view zone)
{
    const double zone_cost_ms = it.backend->zone == zone ? 0 : cross_zone_cost_ms;
    return it.load.prefill_ms + pass_ms_with(request, it) + zone_cost_ms +
           (it.start == cold_state::warm ? 0 : cold_cost_ms);
}

/// Returns how much each gateway's placement is affected by those that others make at the
/// same time: 0 for a single gateway, 1 from 20 on.
double concurrency(const placement_request& request)
{
    constexpr double full = 20;
    return std::min(static_cast<double>(request.gateways - 1) / full, 1.0);
}

/// Cost of running a short prompt. The fuller an engine, the more likely its last slots
/// are taken by others at the same time.
double short_cost_ms(const placement_request& request, const placement_candidate& it,
                     std::string_view zone)
{
    const double fill = static_cast<double>(it.load.requests) / it.backend->slots;
    return run_cost_ms(request, it, zone) +
           full_engine_cost_ms * concurrency(request) * fill;
}

/// Returns the engine for a short prompt; null if none has room.
const placement_candidate* choose_short_main(const placement_request& request,
                                             std::span<const placement_candidate> pool,
                                             std::string_view zone)
{
    return spread_candidate(
        pool, [&](const placement_candidate& it) { return has_room(request, it); },
        [&](const placement_candidate& it) { return short_cost_ms(request, it, zone); },
        equal_cost_ms * concurrency(request), request.spread);
}

bool is_backlogged(const placement_candidate& it)
{
    return it.load.prefill_ms >= max_backlog_ms;
}

/// Returns the engine with the most memory in use among those that already run long
/// prompts and have capacity for one more.
const placement_candidate* choose_shared_main(const placement_request& request,
                                              std::span<const placement_candidate> pool)
{
    const auto can_share = [&](const placement_candidate& it) {
        const bool decodes_only_long =
            it.load.requests > 0 && it.load.short_requests == 0;
        return decodes_only_long && it.start == cold_state::warm &&
               it.load.requests < max_long_decodes && !is_backlogged(it) &&
               has_room(request, it);
    };
    return min_cost_candidate(pool, can_share, [](const placement_candidate& it) {
        return -static_cast<double>(it.load.memory_tokens);
    });
}

/// Selects the engine that runs a prompt: one with memory for the whole prompt if there
/// is one, else the one with the most free memory.
const placement_candidate* choose_main(const placement_request& request,
                                       std::span<const placement_candidate> pool,
                                       std::string_view zone)
{
    if (is_long_prefill(request))
    {
        if (const auto* shared = choose_shared_main(request, pool))
        {
            return shared;
        }
    }
    else if (const auto* main = choose_short_main(request, pool, zone))
    {
        return main;
    }
    const bool is_long = is_long_prefill(request);
    const auto may_run = [&](const placement_candidate& it) {
        return has_free_slot(it) && (it.healthy || !is_long);
    };
    const auto* main = min_cost_candidate(
        pool,
        [&](const placement_candidate& it) {
            return may_run(it) && has_room(request, it);
        },
        [&](const placement_candidate& it) { return run_cost_ms(request, it, zone); });
    return main != nullptr
               ? main
               : min_cost_candidate(pool, may_run, [](const placement_candidate& it) {
                     return static_cast<double>(it.load.memory_tokens);
                 });
}

/// Engines that may prefill parts of a prompt.
struct helper_candidates
{
    std::vector<const placement_candidate*> ready; ///< Available now.
    std::size_t possible = 0; ///< Available now or once their prefill backlog is done.
};

/// Returns the engines other than `main` that are at most as cold as `coldest`.
helper_candidates find_helpers(const placement_request& request,
                               std::span<const placement_candidate> pool,
                               const placement_candidate* main, cold_state coldest)
{
    const bool is_long = is_long_prefill(request);
    helper_candidates helpers;
    for (const auto& it : pool)
    {
        if (&it == main || !it.healthy || it.start > coldest ||
            (is_long && it.load.requests > 0))
        {
            continue;
        }
        ++helpers.possible;
        if (!is_backlogged(it))
        {
            helpers.ready.push_back(&it);
        }
    }
    return helpers;
}

/// Returns the number of engines that should prefill the prompt.
std::size_t target_part_count(const placement_request& request, std::size_t readers)
{
    const double prefill = request.engine->prefill_ms(request.prompt_tokens);
    const auto wanted = static_cast<std::size_t>(std::ceil(prefill / target_part_ms));
    return std::clamp<std::size_t>(wanted, 1, std::min(readers, max_helpers) + 1);
}

/// Returns the number of available engines below which the prompt waits.
double min_part_count(const placement_request& request, std::size_t wanted,
                      std::size_t pool_size)
{
    const double share = static_cast<double>(wanted) * min_parts_share;
    if (!is_long_prefill(request) || request.accept_fewer_engines)
    {
        return share;
    }
    const double prefill = request.engine->prefill_ms(request.prompt_tokens);
    const auto most = static_cast<double>(std::min(pool_size, max_helpers + 1));
    return std::max(
        share, std::min(std::ceil(prefill / max_part_ms), most * max_awaited_pool_share));
}

/// Reserves the memory that the main engine lacks on `helpers`, largest free memory
/// first; false if they have too little.
bool reserve_on_helpers(const placement_request& request, std::uint64_t missing,
                        std::vector<const placement_candidate*> helpers, placement& into)
{
    std::stable_sort(helpers.begin(), helpers.end(), [&](const auto* a, const auto* b) {
        return free_memory(request, *a) > free_memory(request, *b);
    });
    for (const auto* it : helpers)
    {
        if (missing == 0 || into.helpers.size() == max_helpers)
        {
            break;
        }
        const auto reservable =
            static_cast<double>(free_memory(request, *it)) * reservable_share;
        const auto take = std::min(static_cast<std::uint64_t>(reservable), missing);
        // A reservation is one more request to the engine.
        if (it->start != cold_state::warm || take < min_reservation_tokens ||
            contains_id(request.full, it->backend->id))
        {
            continue;
        }
        into.helpers.push_back({*it->backend, {0, 0, take, 0}, take});
        missing -= take;
    }
    return missing == 0;
}

/// Adds engines that prefill one part each, smallest backlog first, up to `count`
/// helpers.
void add_prefill_helpers(std::vector<const placement_candidate*> readers,
                         std::size_t count, placement& into)
{
    std::stable_sort(readers.begin(), readers.end(), [](const auto* a, const auto* b) {
        return a->load.prefill_ms < b->load.prefill_ms;
    });
    for (const auto* it : readers)
    {
        if (into.helpers.size() >= count)
        {
            return;
        }
        const bool known =
            std::any_of(into.helpers.begin(), into.helpers.end(), [it](const auto& part) {
                return part.backend.id == it->backend->id;
            });
        if (!known)
        {
            into.helpers.push_back({*it->backend, {}, 0});
        }
    }
}

/// Sets the prefill time of each part and the expected time to the first event.
void distribute_prefill(const placement_request& request,
                        std::span<const placement_candidate> pool,
                        const placement_candidate& main, placement& into)
{
    const double prefill = request.engine->prefill_ms(request.prompt_tokens);
    const double part = prefill / static_cast<double>(into.helpers.size() + 1);
    double longest_backlog = main.load.prefill_ms;
    into.main.work.prefill_ms = part;
    for (auto& it : into.helpers)
    {
        it.work.prefill_ms = part;
        const auto known =
            std::find_if(pool.begin(), pool.end(), [&](const placement_candidate& one) {
                return one.backend->id == it.backend.id;
            });
        longest_backlog = std::max(longest_backlog, known->load.prefill_ms);
    }
    into.first_event_ms = longest_backlog + part + pass_ms_with(request, main);
}

} // namespace

std::optional<placement> place_in_pool(const placement_request& request,
                                       std::span<const placement_candidate> pool,
                                       std::string_view zone)
{
    const auto* main = choose_main(request, pool, zone);
    if (main == nullptr || is_backlogged(*main))
    {
        return std::nullopt;
    }
    auto helpers = find_helpers(request, pool, main, cold_state::cold);
    const auto wanted = target_part_count(request, helpers.possible);
    const auto are_enough = [&](const helper_candidates& it) {
        return static_cast<double>(it.ready.size() + 1) >=
               min_part_count(request, wanted, pool.size());
    };
    if (!are_enough(helpers))
    {
        return std::nullopt;
    }
    // A cold helper delays the whole prompt, but less than a prefill on few engines.
    auto warm = find_helpers(request, pool, main, cold_state::warm);
    if (are_enough(warm))
    {
        helpers = std::move(warm);
    }
    placement result;
    const std::uint32_t is_short = is_long_prefill(request) ? 0 : 1;
    result.main = {*main->backend, {1, is_short, required_memory(request), 0}, 0};
    if (required_memory(request) > free_memory(request, *main))
    {
        // Leaves a margin at the main engine for requests that have not been reported
        // yet.
        const auto here =
            static_cast<double>(free_memory(request, *main)) * reservable_share;
        result.main.work.memory_tokens = static_cast<std::uint64_t>(here);
        const auto missing = required_memory(request) - result.main.work.memory_tokens;
        if (!reserve_on_helpers(request, missing, helpers.ready, result))
        {
            return std::nullopt;
        }
    }
    add_prefill_helpers(helpers.ready, wanted - 1, result);
    distribute_prefill(request, pool, *main, result);
    return result;
}

} // namespace pistachiopost
