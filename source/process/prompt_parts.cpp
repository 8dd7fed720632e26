#include "process/prompt_parts.hpp"

#include "process/candidate_choice.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace pistachiopost {

namespace {

// Part of a prompt that one engine reads, in milliseconds: with a pass of its writers it
// stays below the pause of a quarter second that short answers allow.
constexpr double part_ms = 150;
// Largest part that one engine should read, in milliseconds: two of them, one after the
// other, leave the first event of a long prompt within its usual target of three seconds.
constexpr double largest_part_ms = 1'000;
// Share of a pool that a prompt waits for at most, however large its parts are.
constexpr double awaited_share = 0.8;
// Share of the wanted parts below which a prompt waits for more readers.
constexpr double least_parts = 0.3;
// Engines that may read for another one, a limit of the engines.
constexpr std::size_t max_helpers = 16;
// Engines with more reading left get no further prompt: it would add up with the others
// to one long pause. Two parts keep an engine busy until the next word from its peers.
constexpr double max_backlog_ms = 120;
// Long prompts that one engine runs at once: with more, the steps over their contexts
// take longer than the pause of half a second that the shorter ones allow.
constexpr std::uint32_t max_long_writers = 6;
// Cost of another availability zone, in milliseconds: two round trips and the priced
// bytes.
constexpr double other_zone_ms = 10;
// Share of an engine's free memory that is set aside for one prompt; the rest is for
// requests of other gateways that were not heard of yet.
constexpr double spare_share = 0.85;
// Smaller reservations are not worth an order.
constexpr std::uint64_t least_reservation = 2'048; // tokens

std::uint64_t memory_of(const placement_request& request)
{
    return request.prompt_tokens + request.output_tokens;
}

std::uint64_t free_memory(const placement_request& request, const candidate& it)
{
    const auto total = request.engine->memory_tokens;
    return total - std::min(total, it.load.memory_tokens);
}

bool fits(const placement_request& request, const candidate& it)
{
    return has_slot(it) && memory_of(request) <= free_memory(request, it);
}

double pass_of(const placement_request& request, const candidate& it)
{
    return request.engine->pass_ms(it.load.requests + 1, it.load.memory_tokens);
}

double cost_of(const placement_request& request, const candidate& it,
               std::string_view zone)
{
    const double elsewhere = it.backend->zone == zone ? 0 : other_zone_ms;
    return it.load.read_ms + pass_of(request, it) + elsewhere;
}

bool is_backlogged(const candidate& it)
{
    return it.load.read_ms >= max_backlog_ms;
}

/// Returns the fullest engine that already runs long prompts and has room for one more.
const candidate* choose_shared_main(const placement_request& request,
                                    std::span<const candidate> pool)
{
    const auto shares = [&](const candidate& it) {
        const bool writes_long = it.load.requests > 0 && it.load.short_requests == 0;
        return writes_long && it.load.requests < max_long_writers && !is_backlogged(it) &&
               fits(request, it);
    };
    return cheapest(pool, shares, [](const candidate& it) {
        return -static_cast<double>(it.load.memory_tokens);
    });
}

/// Chooses the engine that runs a prompt: one with memory for all of it if there is one,
/// else the one with the most memory.
const candidate* choose_main(const placement_request& request,
                             std::span<const candidate> pool, std::string_view zone)
{
    if (is_long_read(request))
    {
        if (const auto* shared = choose_shared_main(request, pool))
        {
            return shared;
        }
    }
    const bool is_long = is_long_read(request);
    const auto may_run = [&](const candidate& it) {
        return has_slot(it) && (it.trusted || !is_long);
    };
    const auto* main = cheapest(
        pool, [&](const candidate& it) { return may_run(it) && fits(request, it); },
        [&](const candidate& it) { return cost_of(request, it, zone); });
    return main != nullptr ? main : cheapest(pool, may_run, [](const candidate& it) {
        return static_cast<double>(it.load.memory_tokens);
    });
}

/// Engines that may read parts of a prompt.
struct reader_list
{
    std::vector<const candidate*> free; ///< Ready now.
    std::size_t possible = 0;           ///< Ready once their reading is done.
};

reader_list find_readers(const placement_request& request,
                         std::span<const candidate> pool, const candidate* main)
{
    const bool is_long = is_long_read(request);
    reader_list readers;
    for (const auto& it : pool)
    {
        if (&it == main || !it.trusted || (is_long && it.load.requests > 0))
        {
            continue;
        }
        ++readers.possible;
        if (!is_backlogged(it))
        {
            readers.free.push_back(&it);
        }
    }
    return readers;
}

/// Returns how many engines should read the prompt.
std::size_t wanted_parts(const placement_request& request, std::size_t readers)
{
    const double read = request.engine->prefill_ms(request.prompt_tokens);
    const auto wanted = static_cast<std::size_t>(std::ceil(read / part_ms));
    return std::clamp<std::size_t>(wanted, 1, std::min(readers, max_helpers) + 1);
}

/// Returns how many engines must be free to read it; with fewer the prompt waits.
double needed_parts(const placement_request& request, std::size_t wanted,
                    std::size_t pool_size)
{
    const double share = static_cast<double>(wanted) * least_parts;
    if (!is_long_read(request) || request.impatient)
    {
        return share;
    }
    const double read = request.engine->prefill_ms(request.prompt_tokens);
    const auto most = static_cast<double>(std::min(pool_size, max_helpers + 1));
    return std::max(share,
                    std::min(std::ceil(read / largest_part_ms), most * awaited_share));
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
        if (take < least_reservation || names(request.full, it->backend->id))
        {
            continue;
        }
        into.helpers.push_back({*it->backend, {0, 0, take, 0}, take});
        lacking -= take;
    }
    return lacking == 0;
}

/// Adds engines that read a part each, the least busy first, up to `count` helpers.
void add_readers(std::vector<const candidate*> readers, std::size_t count,
                 placement& into)
{
    std::stable_sort(readers.begin(), readers.end(), [](const auto* a, const auto* b) {
        return a->load.read_ms < b->load.read_ms;
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
void share_reading(const placement_request& request, std::span<const candidate> pool,
                   const candidate& main, placement& into)
{
    const double read = request.engine->prefill_ms(request.prompt_tokens);
    const double part = read / static_cast<double>(into.helpers.size() + 1);
    double longest_backlog = main.load.read_ms;
    into.main.work.read_ms = part;
    for (auto& it : into.helpers)
    {
        it.work.read_ms = part;
        const auto known =
            std::find_if(pool.begin(), pool.end(), [&](const candidate& one) {
                return one.backend->id == it.backend.id;
            });
        longest_backlog = std::max(longest_backlog, known->load.read_ms);
    }
    into.first_event_ms = longest_backlog + part + pass_of(request, main);
}

} // namespace

std::optional<placement> place_in_pool(const placement_request& request,
                                       std::span<const candidate> pool,
                                       std::string_view zone)
{
    const auto* main = choose_main(request, pool, zone);
    if (main == nullptr || is_backlogged(*main))
    {
        return std::nullopt;
    }
    const auto readers = find_readers(request, pool, main);
    const auto wanted = wanted_parts(request, readers.possible);
    const auto ready = static_cast<double>(readers.free.size() + 1);
    if (ready < needed_parts(request, wanted, pool.size()))
    {
        return std::nullopt;
    }
    placement result;
    const std::uint32_t is_short = is_long_read(request) ? 0 : 1;
    result.main = {*main->backend, {1, is_short, memory_of(request), 0}, 0};
    if (memory_of(request) > free_memory(request, *main))
    {
        // A margin at the main engine for the writers that were not heard of yet.
        const auto here = static_cast<double>(free_memory(request, *main)) * spare_share;
        result.main.work.memory_tokens = static_cast<std::uint64_t>(here);
        const auto lacking = memory_of(request) - result.main.work.memory_tokens;
        if (!spread_memory(request, lacking, readers.free, result))
        {
            return std::nullopt;
        }
    }
    add_readers(readers.free, wanted - 1, result);
    share_reading(request, pool, *main, result);
    return result;
}

} // namespace pistachiopost
