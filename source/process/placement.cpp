#include "process/placement.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiopost {

namespace {

// Share of the tightest pause between events that one read may add before it counts as
// long.
constexpr double long_read_share = 1;
// Part of a prompt that one engine reads, in milliseconds: with a pass of its writers it
// stays below the pause of a quarter second that short answers allow.
constexpr double part_ms = 150;
// Engines that may read for another one, a limit of the engines.
constexpr std::size_t max_helpers = 16;
// Cost of another availability zone, in milliseconds: two round trips and the priced
// bytes.
constexpr double other_zone_ms = 10;
// Short requests that one engine is meant to write at once: four fifths of a batch of
// sixteen, so that the next ones find a place.
constexpr double usual_writers = 13;
// One engine in eight stays for long prompts whatever the short ones need.
constexpr std::size_t least_pool_part = 8;
// Share of an engine's free memory that is set aside for one prompt; the rest is for
// requests of other gateways that were not heard of yet.
constexpr double spare_share = 0.85;
// Engines with more reading left get no further prompt: it would add up with the others
// to one long pause. Two parts keep an engine busy until the next word from its peers.
constexpr double max_backlog_ms = 120;
// Share of the wanted parts below which a prompt waits for more readers: its parts would
// be so large that the next prompts wait behind them.
constexpr double least_parts = 0.6;
// Smaller reservations are not worth an order.
constexpr std::uint64_t least_reservation = 2'048; // tokens

bool contains(std::span<const std::string> names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

double zone_cost(const backend_record& backend, std::string_view zone)
{
    return backend.zone == zone ? 0 : other_zone_ms;
}

std::uint64_t memory_of(const placement_request& request)
{
    return request.prompt_tokens + request.output_tokens;
}

bool has_slot(const candidate& it)
{
    return it.load.requests < it.backend->slots;
}

bool has_memory(const placement_request& request, const candidate& it)
{
    return it.load.memory_tokens + memory_of(request) <= request.engine->memory_tokens;
}

double pass_of(const placement_request& request, const candidate& it)
{
    return request.engine->pass_ms(it.load.requests + 1, it.load.memory_tokens);
}

placement single(const placement_request& request, const candidate& it)
{
    placement result;
    result.main.backend = *it.backend;
    result.main.work.requests = 1;
    if (request.engine != nullptr)
    {
        const double read = request.engine->read_ms(request.prompt_tokens);
        const std::uint32_t is_short = is_long_read(request) ? 0 : 1;
        result.main.work = {1, is_short, memory_of(request), read};
        result.first_event_ms = it.load.read_ms + read + pass_of(request, it);
    }
    return result;
}

/// Returns the candidate with the lowest cost among those that `fits`; null if none.
template <typename Fits, typename Cost>
const candidate* cheapest(std::span<const candidate> candidates, const Fits& fits,
                          const Cost& cost)
{
    const candidate* best = nullptr;
    double best_cost = 0;
    for (const auto& it : candidates)
    {
        if (!fits(it))
        {
            continue;
        }
        const double its_cost = cost(it);
        if (best == nullptr || its_cost < best_cost)
        {
            best = &it;
            best_cost = its_cost;
        }
    }
    return best;
}

std::optional<placement> place_call(const placement_request& request,
                                    std::span<const candidate> candidates,
                                    std::string_view zone)
{
    const auto* it = cheapest(candidates, has_slot, [&](const candidate& one) {
        const auto full = static_cast<double>(one.load.requests) / one.backend->slots;
        return full + (one.backend->zone == zone ? 0 : 0.1);
    });
    return it == nullptr ? std::nullopt : std::optional(single(request, *it));
}

std::uint64_t free_memory(const placement_request& request, const candidate& it)
{
    const auto total = request.engine->memory_tokens;
    return total - std::min(total, it.load.memory_tokens);
}

/// Chooses the engine that runs a long prompt: one with memory for all of it if there is
/// one, else the one with the most memory.
const candidate* choose_main(const placement_request& request,
                             std::span<const candidate> pool, std::string_view zone)
{
    const auto fits = [&](const candidate& it) {
        return has_slot(it) && has_memory(request, it);
    };
    const auto* main = cheapest(pool, fits, [&](const candidate& one) {
        return one.load.read_ms + pass_of(request, one) + zone_cost(*one.backend, zone);
    });
    return main != nullptr ? main : cheapest(pool, has_slot, [&](const candidate& one) {
        return static_cast<double>(one.load.memory_tokens);
    });
}

/// Shares memory that the main engine lacks among `helpers`, most memory first; false if
/// they have too little.
bool spread_memory(const placement_request& request, std::uint64_t lacking,
                   std::vector<const candidate*> helpers, placement& into)
{
    std::stable_sort(helpers.begin(), helpers.end(), [&](const auto* a, const auto* b) {
        return free_memory(request, *a) > free_memory(request, *b);
    });
    for (const auto* it : helpers)
    {
        if (lacking == 0 || into.helpers.size() == max_helpers)
        {
            break;
        }
        const auto spare = static_cast<double>(free_memory(request, *it)) * spare_share;
        const auto take = std::min(static_cast<std::uint64_t>(spare), lacking);
        if (take < least_reservation || contains(request.full, it->backend->id))
        {
            continue;
        }
        into.helpers.push_back({*it->backend, {0, 0, take, 0}, take});
        lacking -= take;
    }
    return lacking == 0;
}

/// Adds engines that read a part each, the least busy first, up to `count` helpers.
void add_readers(std::vector<const candidate*> others, std::size_t count, placement& into)
{
    std::stable_sort(others.begin(), others.end(), [](const auto* a, const auto* b) {
        return a->load.read_ms < b->load.read_ms;
    });
    for (const auto* it : others)
    {
        const auto same = [it](const placed_part& part) {
            return part.backend.id == it->backend->id;
        };
        if (into.helpers.size() >= count)
        {
            return;
        }
        if (std::none_of(into.helpers.begin(), into.helpers.end(), same))
        {
            into.helpers.push_back({*it->backend, {}, 0});
        }
    }
}

/// Returns the engines that may read parts of this prompt: those with little reading left
/// and, for a long prompt, without short requests whose pauses it would stretch.
std::vector<const candidate*> free_readers(const placement_request& request,
                                           std::span<const candidate> from,
                                           const candidate* main)
{
    const bool is_long = is_long_read(request);
    std::vector<const candidate*> list;
    for (const auto& it : from)
    {
        const bool disturbs = is_long && it.load.short_requests > 0;
        if (&it != main && !disturbs && it.load.read_ms < max_backlog_ms)
        {
            list.push_back(&it);
        }
    }
    return list;
}

/// Returns how many engines should read the prompt, `readers` of which could be had.
std::size_t wanted_parts(const placement_request& request, std::size_t readers)
{
    const double read = request.engine->read_ms(request.prompt_tokens);
    const auto wanted = static_cast<std::size_t>(std::ceil(read / part_ms));
    return std::clamp<std::size_t>(wanted, 1, std::min(readers, max_helpers) + 1);
}

/// Sets the reading of each part and the time to the first event.
void share_reading(const placement_request& request, std::span<const candidate> pool,
                   const candidate& main, placement& into)
{
    const double read = request.engine->read_ms(request.prompt_tokens);
    const double part = read / static_cast<double>(into.helpers.size() + 1);
    double slowest = main.load.read_ms;
    for (auto& it : into.helpers)
    {
        it.work.read_ms = part;
        const auto known =
            std::find_if(pool.begin(), pool.end(), [&](const candidate& one) {
                return one.backend->id == it.backend.id;
            });
        slowest = std::max(slowest, known->load.read_ms);
    }
    into.main.work.read_ms = part;
    into.first_event_ms = slowest + part + pass_of(request, main);
}

/// Places a prompt in `pool`: one engine runs it, others read parts of it.
std::optional<placement> place_in(const placement_request& request,
                                  std::span<const candidate> pool, std::string_view zone)
{
    const auto* main = choose_main(request, pool, zone);
    if (main == nullptr || main->load.read_ms >= max_backlog_ms)
    {
        return std::nullopt;
    }
    const auto free = free_readers(request, pool, main);
    const auto parts = wanted_parts(request, pool.size() - 1);
    if (static_cast<double>(free.size() + 1) < static_cast<double>(parts) * least_parts)
    {
        return std::nullopt;
    }
    auto result = single(request, *main);
    const auto here = free_memory(request, *main);
    if (memory_of(request) > here)
    {
        // A margin at the main engine for the writers that were not heard of yet.
        const auto kept =
            static_cast<std::uint64_t>(static_cast<double>(here) * spare_share);
        const auto lacking = memory_of(request) - kept;
        result.main.work.memory_tokens = kept;
        if (!spread_memory(request, lacking, free, result))
        {
            return std::nullopt;
        }
    }
    add_readers(free, parts - 1, result);
    share_reading(request, pool, *main, result);
    return result;
}

/// Returns the engines that write nothing.
std::vector<candidate> without_writers(std::span<const candidate> from)
{
    std::vector<candidate> list;
    for (const auto& it : from)
    {
        if (it.load.requests == 0)
        {
            list.push_back(it);
        }
    }
    return list;
}

/// Chooses among the engines; the first `pool` of them are for long prompts.
std::optional<placement> place_prompt(const placement_request& request,
                                      std::span<const candidate> all, std::size_t pool,
                                      std::string_view zone)
{
    const auto long_pool = all.first(std::min(pool, all.size()));
    const auto short_pool = all.subspan(long_pool.size());
    if (!is_long_read(request))
    {
        auto result = place_in(request, short_pool, zone);
        return result ? result : place_in(request, long_pool, zone);
    }
    if (auto result = place_in(request, long_pool, zone))
    {
        return result;
    }
    return place_in(request, without_writers(short_pool), zone);
}

} // namespace

bool is_long_read(const placement_request& request)
{
    if (request.engine == nullptr || request.prompt_tokens == 0)
    {
        return false;
    }
    const auto limit =
        static_cast<double>(request.tightest_gap.count()) * long_read_share;
    return request.engine->read_ms(request.prompt_tokens) > limit;
}

std::size_t long_pool_size(std::span<const candidate> candidates)
{
    std::uint32_t writers = 0;
    for (const auto& it : candidates)
    {
        writers += it.load.short_requests;
    }
    const auto needed = static_cast<std::size_t>(std::ceil(writers / usual_writers)) + 1;
    const auto count = candidates.size();
    const auto least =
        std::max<std::size_t>(count / least_pool_part, std::min<std::size_t>(count, 1));
    return count > needed + least ? count - needed : least;
}

std::optional<placement> place(const placement_request& request,
                               std::span<const candidate> candidates,
                               std::string_view zone)
{
    std::vector<candidate> allowed;
    for (const auto& it : candidates)
    {
        if (!contains(request.excluded, it.backend->id))
        {
            allowed.push_back(it);
        }
    }
    if (request.engine == nullptr)
    {
        return place_call(request, allowed, zone);
    }
    const auto pool = long_pool_size(allowed);
    auto result = place_prompt(request, allowed, pool, zone);
    if (result)
    {
        result->long_pool = pool;
    }
    return result;
}

} // namespace pistachiopost
