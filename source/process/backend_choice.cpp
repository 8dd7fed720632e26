#include "process/backend_choice.hpp"

#include <algorithm>
#include <vector>

namespace pistachiopost {

namespace {

constexpr milliseconds affinity_slack{40}; // extra wait that a cache hit is worth

milliseconds penalized_wait(const candidate& it)
{
    return it.expected_wait + it.aversion;
}

/// Yields small numbers from one random 64-bit number.
class draw
{
public:
    explicit draw(std::uint64_t random) : state_(random) {}

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

/// Leaves servers that just started out of some choices, so that they ramp up.
std::vector<const candidate*> without_starting(std::span<const candidate> list,
                                               draw& random)
{
    std::vector<const candidate*> kept;
    for (const auto& it : list)
    {
        if (it.ramp >= 1 || random.chance(it.ramp))
        {
            kept.push_back(&it);
        }
    }
    if (kept.empty())
    {
        kept.push_back(&list[random.below(list.size())]);
    }
    return kept;
}

} // namespace

const candidate& two_choices::choose(std::span<const candidate> list,
                                     std::string_view affine, std::uint64_t random,
                                     bool thorough)
{
    draw numbers(random);
    auto kept = without_starting(list, numbers);
    const auto least = (*std::min_element(kept.begin(), kept.end(), [](auto* a, auto* b) {
                           return a->aversion < b->aversion;
                       }))->aversion;
    const auto rest =
        std::stable_partition(kept.begin(), kept.end(),
                              [least](const auto* it) { return it->aversion == least; });
    const std::span preferred(kept.begin(), rest);
    const std::span others(rest, kept.end());
    std::vector<const candidate*> sampled;
    for (const auto& group : {preferred, preferred, others, others})
    {
        if (!group.empty())
        {
            sampled.push_back(group[numbers.below(group.size())]);
        }
    }
    if (thorough)
    {
        sampled = kept;
    }
    const auto* best = *std::min_element(
        sampled.begin(), sampled.end(), [](const auto* a, const auto* b) {
            return penalized_wait(*a) < penalized_wait(*b);
        });
    const auto hit = std::find_if(kept.begin(), kept.end(),
                                  [affine](const auto* it) { return it->vm == affine; });
    if (hit != kept.end() &&
        penalized_wait(**hit) <= penalized_wait(*best) + affinity_slack)
    {
        return **hit;
    }
    return *best;
}

const candidate& least_loaded::choose(std::span<const candidate> list,
                                      std::string_view /*affine*/, std::uint64_t random,
                                      bool /*thorough*/)
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
                                     std::string_view /*affine*/,
                                     std::uint64_t /*random*/, bool /*thorough*/)
{
    return list[turn_++ % list.size()];
}

} // namespace pistachiopost
