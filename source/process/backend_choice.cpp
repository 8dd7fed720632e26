#include "process/backend_choice.hpp"

#include <algorithm>
#include <vector>

namespace pistachiopost {

namespace {

constexpr milliseconds affinity_slack{40}; // extra wait accepted for a cache hit

milliseconds penalized_wait(const candidate& it)
{
    return it.expected_wait + it.wait_penalty;
}

/// Linear congruential generator seeded with one random 64-bit number.
class random_sequence
{
public:
    explicit random_sequence(std::uint64_t random) : state_(random) {}

    std::size_t below(std::size_t bound)
    {
        state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<std::size_t>((state_ >> 33U) % bound);
    }

    bool chance(double probability)
    {
        constexpr std::size_t scale = 1 << 20;
        return static_cast<double>(below(scale)) < probability * scale;
    }

private:
    std::uint64_t state_;
};

/// Drops recently started servers with probability 1 - ramp, so that their load rises
/// gradually.
std::vector<const candidate*> skip_ramping(std::span<const candidate> list,
                                           random_sequence& random)
{
    std::vector<const candidate*> eligible;
    for (const auto& it : list)
    {
        if (it.ramp >= 1 || random.chance(it.ramp))
        {
            eligible.push_back(&it);
        }
    }
    if (eligible.empty())
    {
        eligible.push_back(&list[random.below(list.size())]);
    }
    return eligible;
}

} // namespace

const candidate& two_choices::choose(std::span<const candidate> list,
                                     std::string_view cached_vm, std::uint64_t random,
                                     bool compare_all)
{
    random_sequence numbers(random);
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
            sampled.push_back(group[numbers.below(group.size())]);
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
