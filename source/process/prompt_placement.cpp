#include "process/prompt_placement.hpp"

#include "process/candidate_choice.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace pistachiopost {

namespace {

// Part of a prompt that one engine reads, in milliseconds: with a pass of its writers it
// stays below the pause of a quarter second that short answers allow.
constexpr double target_part_ms = 150;
// Largest part that one engine should read, in milliseconds: two of them, one after the
// other, leave the first event of a long prompt within its usual target of three seconds.
constexpr double max_part_ms = 1'000;
// Share of a pool that a prompt waits for at most, however large its parts are.
constexpr double max_awaited_pool_share = 0.8;
// Share of the wanted parts below which a prompt waits for more readers.
constexpr double min_parts_share = 0.3;
// Engines that may read for another one, a limit of the engines.
constexpr std::size_t max_helpers = 16;
// Engines with more reading left get no further prompt: it would add up with the others
// to one long pause. Two parts keep an engine busy until the next word from its peers.
constexpr double max_backlog_ms = 120;
// Long prompts that one engine runs at once: with more, the steps over their contexts
// take longer than the pause of half a second that the shorter ones allow.
constexpr std::uint32_t max_long_decodes = 6;
// Cost of another availability zone, in milliseconds: two round trips and the priced
// bytes.
constexpr double cross_zone_cost_ms = 10;
// Share of an engine's free memory that is set aside for one prompt; the rest is for
// requests of other gateways that were not heard of yet.
constexpr double reservable_share = 0.85;
// Smaller reservations are not worth an order.
constexpr std::uint64_t min_reservation = 2'048; // tokens

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
    return it.load.prefill_ms + pass_ms_with(request, it) + zone_cost_ms;
}

bool is_backlogged(const placement_candidate& it)
{
    return it.load.prefill_ms >= max_backlog_ms;
}

/// Returns the fullest engine that already runs long prompts and has room for one more.
const placement_candidate* choose_shared_main(const placement_request& request,
                                              std::span<const placement_candidate> pool)
{
    const auto can_share = [&](const placement_candidate& it) {
        const bool decodes_only_long =
            it.load.requests > 0 && it.load.short_requests == 0;
        return decodes_only_long && it.load.requests < max_long_decodes &&
               !is_backlogged(it) && has_room(request, it);
    };
    return min_cost_candidate(pool, can_share, [](const placement_candidate& it) {
        return -static_cast<double>(it.load.memory_tokens);
    });
}

/// Chooses the engine that runs a prompt: one with memory for all of it if there is one,
/// else the one with the most memory.
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

/// Engines that may read parts of a prompt.
struct helper_candidates
{
    std::vector<const placement_candidate*> ready; ///< Ready now.
    std::size_t possible = 0;                      ///< Ready once their reading is done.
};

helper_candidates find_helpers(const placement_request& request,
                               std::span<const placement_candidate> pool,
                               const placement_candidate* main)
{
    const bool is_long = is_long_prefill(request);
    helper_candidates helpers;
    for (const auto& it : pool)
    {
        if (&it == main || !it.healthy || (is_long && it.load.requests > 0))
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

/// Returns how many engines should read the prompt.
std::size_t target_part_count(const placement_request& request, std::size_t readers)
{
    const double prefill = request.engine->read_ms(request.prompt_tokens);
    const auto wanted = static_cast<std::size_t>(std::ceil(prefill / target_part_ms));
    return std::clamp<std::size_t>(wanted, 1, std::min(readers, max_helpers) + 1);
}

/// Returns how many engines must be free to read it; with fewer the prompt waits.
double min_part_count(const placement_request& request, std::size_t wanted,
                      std::size_t pool_size)
{
    const double share = static_cast<double>(wanted) * min_parts_share;
    if (!is_long_prefill(request) || request.accept_fewer_engines)
    {
        return share;
    }
    const double prefill = request.engine->read_ms(request.prompt_tokens);
    const auto most = static_cast<double>(std::min(pool_size, max_helpers + 1));
    return std::max(
        share, std::min(std::ceil(prefill / max_part_ms), most * max_awaited_pool_share));
}

/// Shares memory that the main engine lacks among `helpers`, most memory first; false if
/// they have too little.
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
        if (take < min_reservation || contains_id(request.full, it->backend->id))
        {
            continue;
        }
        into.helpers.push_back({*it->backend, {0, 0, take, 0}, take});
        missing -= take;
    }
    return missing == 0;
}

/// Adds engines that read a part each, the least busy first, up to `count` helpers.
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

/// Sets the reading of each part and the expected time to the first event.
void distribute_prefill(const placement_request& request,
                        std::span<const placement_candidate> pool,
                        const placement_candidate& main, placement& into)
{
    const double prefill = request.engine->read_ms(request.prompt_tokens);
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
    const auto helpers = find_helpers(request, pool, main);
    const auto wanted = target_part_count(request, helpers.possible);
    const auto ready = static_cast<double>(helpers.ready.size() + 1);
    if (ready < min_part_count(request, wanted, pool.size()))
    {
        return std::nullopt;
    }
    placement result;
    const std::uint32_t is_short = is_long_prefill(request) ? 0 : 1;
    result.main = {*main->backend, {1, is_short, required_memory(request), 0}, 0};
    if (required_memory(request) > free_memory(request, *main))
    {
        // A margin at the main engine for the writers that were not heard of yet.
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
