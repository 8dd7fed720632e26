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
// Token steps that an engine does for all its writers at once.
constexpr double usual_writers = 10;

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

std::optional<placement> place_long(const placement_request& request,
                                    std::span<const candidate> pool,
                                    std::string_view zone)
{
    const auto fits = [&](const candidate& it) {
        return has_slot(it) && has_memory(request, it);
    };
    const auto* main = cheapest(pool, fits, [&](const candidate& one) {
        return one.load.read_ms + pass_of(request, one) + zone_cost(*one.backend, zone);
    });
    if (main == nullptr)
    {
        return std::nullopt;
    }
    const double read = request.engine->read_ms(request.prompt_tokens);
    const auto wanted = static_cast<std::size_t>(std::ceil(read / part_ms));
    const auto parts =
        std::clamp<std::size_t>(wanted, 1, std::min(pool.size(), max_helpers + 1));
    std::vector<const candidate*> others;
    for (const auto& it : pool)
    {
        if (&it != main)
        {
            others.push_back(&it);
        }
    }
    std::stable_sort(others.begin(), others.end(), [](const auto* a, const auto* b) {
        return a->load.read_ms < b->load.read_ms;
    });
    auto result = single(request, *main);
    const double part = read / static_cast<double>(parts);
    result.main.work.read_ms = part;
    double slowest = main->load.read_ms;
    for (std::size_t i = 0; i + 1 < parts; ++i)
    {
        result.helpers.push_back({*others[i]->backend, {0, 0, part}});
        slowest = std::max(slowest, others[i]->load.read_ms);
    }
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
        const auto& excluded = request.excluded;
        if (std::find(excluded.begin(), excluded.end(), it.backend->id) == excluded.end())
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
        auto result =
            place_long(request, all.first(std::max<std::size_t>(pool, 1)), zone);
        return result ? result : place_long(request, all, zone);
    }
    auto result = place_short(request, all.subspan(pool), zone);
    return result ? result : place_short(request, all, zone);
}

} // namespace pistachiopost
