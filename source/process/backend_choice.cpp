#include "process/backend_choice.hpp"

#include <algorithm>
#include <random>
#include <vector>

namespace pistachiopost {

namespace {

constexpr milliseconds affinity_slack{40}; // extra wait accepted for a cache hit

milliseconds penalized_wait(const candidate& it)
{
    return it.expected_wait + it.wait_penalty;
}

/// Selects from `list` with equal probability.
const candidate* pick(std::span<const candidate* const> list, std::minstd_rand& random)
{
    std::uniform_int_distribution<std::size_t> index(0, list.size() - 1);
    return list[index(random)];
}

/// Drops recently started servers with probability 1 - ramp, so that their load rises
/// gradually.
std::vector<const candidate*> skip_ramping(std::span<const candidate> list,
                                           std::minstd_rand& random)
{
    std::vector<const candidate*> eligible;
    for (const auto& it : list)
    {
        if (it.ramp >= 1 || std::bernoulli_distribution(it.ramp)(random))
        {
            eligible.push_back(&it);
        }
    }
    if (eligible.empty())
    {
        std::uniform_int_distribution<std::size_t> index(0, list.size() - 1);
        eligible.push_back(&list[index(random)]);
    }
    return eligible;
}

} // namespace

const candidate& two_choices::choose(std::span<const candidate> list,
                                     std::string_view cached_vm, std::uint64_t random,
                                     bool compare_all)
{
    std::minstd_rand numbers(static_cast<std::minstd_rand::result_type>(random));
    auto eligible = skip_ramping(list, numbers);
    const auto lowest_penalty =
        (*std::min_element(eligible.begin(), eligible.end(), [](auto* a, auto* b) {
            return a->wait_penalty < b->wait_penalty;
        }))->wait_penalty;
    const auto rest = std::stable_partition(
        eligible.begin(), eligible.end(),
        [lowest_penalty](const auto* it) { return it->wait_penalty == lowest_penalty; });
    const std::span preferred(eligible.begin(), rest);
    const std::span others(rest, eligible.end());
    std::vector<const candidate*> sampled;
    for (const auto& group : {preferred, preferred, others, others})
    {
        if (!group.empty())
        {
            sampled.push_back(pick(group, numbers));
        }
    }
    if (compare_all)
    {
        sampled = eligible;
    }
    const auto* best = *std::min_element(
        sampled.begin(), sampled.end(), [](const auto* a, const auto* b) {
            return penalized_wait(*a) < penalized_wait(*b);
        });
    const auto cached =
        std::find_if(eligible.begin(), eligible.end(),
                     [cached_vm](const auto* it) { return it->vm == cached_vm; });
    if (cached != eligible.end() &&
        penalized_wait(**cached) <= penalized_wait(*best) + affinity_slack)
    {
        return **cached;
    }
    return *best;
}

const candidate& least_loaded::choose(std::span<const candidate> list,
                                      std::string_view /*cached_vm*/,
                                      std::uint64_t random, bool /*compare_all*/)
{
    const auto start = static_cast<std::size_t>(random % list.size());
    const auto* best = &list[start];
    for (std::size_t i = 1; i < list.size(); ++i)
    {
        const auto& it = list[(start + i) % list.size()];
        if (it.in_flight < best->in_flight)
        {
            best = &it;
        }
    }
    return *best;
}

const candidate& round_robin::choose(std::span<const candidate> list,
                                     std::string_view /*cached_vm*/,
                                     std::uint64_t /*random*/, bool /*compare_all*/)
{
    return list[next_index_++ % list.size()];
}

} // namespace pistachiopost
