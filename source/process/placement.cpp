#include "process/placement.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiopost {

namespace {

// Share of the tightest pause that one read may add: the rest is the pass itself.
constexpr double long_read_share = 0.4;
// Part of a prompt that one engine reads, in milliseconds: about one pass of writers.
constexpr double part_ms = 40;
// Engines that may read for another one, a limit of the engines.
constexpr std::size_t max_helpers = 16;
// Cost of another availability zone, in milliseconds: two round trips and the priced
// bytes.
constexpr double other_zone_ms = 10;
// Writers of a busy engine: a batch of sixteen that is two thirds full.
constexpr double usual_writers = 10;
// Share of an engine's free memory that is set aside for one prompt; the rest is for
// requests of other gateways that were not heard of yet.
constexpr double spare_share = 0.85;
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
    result.main.work = {1, 0, 0};
    if (request.engine != nullptr)
    {
        const double read = request.engine->read_ms(request.prompt_tokens);
        result.main.work = {1, memory_of(request), read};
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

std::optional<placement> place_short(const placement_request& request,
                                     std::span<const candidate> candidates,
                                     std::string_view zone)
{
    const auto fits = [&](const candidate& it) {
        return has_slot(it) && has_memory(request, it);
    };
    const auto* it = cheapest(candidates, fits, [&](const candidate& one) {
        return one.load.read_ms + pass_of(request, one) + zone_cost(*one.backend, zone);
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
        into.helpers.push_back({*it->backend, {0, take, 0}, take});
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

std::optional<placement> place_long(const placement_request& request,
                                    std::span<const candidate> all, std::size_t pool_size,
                                    std::string_view zone)
{
    const auto pool = all.first(pool_size);
    const auto* main = choose_main(request, pool, zone);
    if (main == nullptr)
    {
        return std::nullopt;
    }
    auto result = single(request, *main);
    const auto others = [main](std::span<const candidate> from) {
        std::vector<const candidate*> list;
        for (const auto& it : from)
        {
            if (&it != main)
            {
                list.push_back(&it);
            }
        }
        return list;
    };
    const auto here = free_memory(request, *main);
    if (memory_of(request) > here)
    {
        // A margin at the main engine for the writers that were not heard of yet.
        const auto kept = static_cast<std::uint64_t>(static_cast<double>(here) * spare_share);
        result.main.work.memory_tokens = kept;
        if (!spread_memory(request, memory_of(request) - kept, others(all), result))
        {
            return std::nullopt;
        }
    }
    const double read = request.engine->read_ms(request.prompt_tokens);
    const auto wanted = static_cast<std::size_t>(std::ceil(read / part_ms));
    const auto parts = std::clamp<std::size_t>(wanted, 1, max_helpers + 1);
    add_readers(others(pool), parts - 1, result);
    const double part = read / static_cast<double>(result.helpers.size() + 1);
    double slowest = main->load.read_ms;
    for (auto& it : result.helpers)
    {
        it.work.read_ms = part;
        const auto known = std::find_if(all.begin(), all.end(), [&](const candidate& one) {
            return one.backend->id == it.backend.id;
        });
        slowest = std::max(slowest, known->load.read_ms);
    }
    result.main.work.read_ms = part;
    result.first_event_ms = slowest + part + pass_of(request, *main);
    return result;
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

arriving_work engine_time(const placement_request& request)
{
    if (request.engine == nullptr)
    {
        return {};
    }
    const auto& engine = *request.engine;
    const double steps = static_cast<double>(request.output_tokens);
    const double pass = engine.pass_ms(static_cast<std::size_t>(usual_writers), 0);
    const double writing = steps * pass / engine.steps_per_pass / usual_writers;
    const double whole = engine.read_ms(request.prompt_tokens) + writing;
    return is_long_read(request) ? arriving_work{whole, 0} : arriving_work{0, whole};
}

std::size_t long_pool_size(std::size_t count, const arriving_work& arriving)
{
    const double all = arriving.long_ms + arriving.short_ms;
    if (count < 2 || all <= 0)
    {
        return count / 2;
    }
    const auto wanted = std::lround(static_cast<double>(count) * arriving.long_ms / all);
    return std::clamp<std::size_t>(static_cast<std::size_t>(wanted), 1, count - 1);
}

std::optional<placement> place(const placement_request& request,
                               std::span<const candidate> candidates,
                               const arriving_work& arriving, std::string_view zone)
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
    const auto pool = long_pool_size(allowed.size(), arriving);
    const auto all = std::span<const candidate>(allowed);
    if (is_long_read(request))
    {
        const auto size = std::min(std::max<std::size_t>(pool, 1), all.size());
        auto result = place_long(request, all, size, zone);
        return result ? result : place_long(request, all, all.size(), zone);
    }
    auto result = place_short(request, all.subspan(pool), zone);
    return result ? result : place_short(request, all, zone);
}

} // namespace pistachiopost
