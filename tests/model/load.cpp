#include "model/load.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiopost::model {

namespace {

// Duration of one peak.
constexpr double peak_s = 4;
// Rate of a kind outside its peak, relative to its mean.
constexpr double off_peak_factor = 0.6;
// Fleet size for which the rates of the kinds are given.
constexpr double reference_engines = 16;

double rate_factor(const prompt_kind& kind, double second)
{
    const bool short_peak = std::fmod(second, 2 * peak_s) >= peak_s;
    const bool is_short = kind.gap_target_ms <= 250;
    return short_peak == is_short ? kind.peak_factor : off_peak_factor;
}

std::uint64_t pick_length(const prompt_kind& kind, std::mt19937_64& random)
{
    // Log-uniform, with a mean of about kind.tokens.
    constexpr double shortest = 0.35;
    constexpr double longest = 2.4;
    std::uniform_real_distribution<double> spread(std::log(shortest), std::log(longest));
    return static_cast<std::uint64_t>(kind.mean_tokens * std::exp(spread(random)));
}

std::size_t pick_customer(std::mt19937_64& random)
{
    constexpr std::size_t large_customers = 3;
    return random() % 2 == 0 ? random() % large_customers : random() % customer_count;
}

} // namespace

const std::vector<prompt_kind>& prompt_kinds()
{
    static const std::vector<prompt_kind> all{
        {"query", 5'000, 32, 30, 300, 250, 1.3, 0.33, 2.5},
        {"log", 45'000, 19, 1.64, 1'500, 600, 3.9, 0.98, 2.8},
        {"dossier", 133'000, 16, 1.38, 3'000, 1'000, 15, 3.7, 2.8}};
    return all;
}

std::vector<arrival> make_load(std::uint64_t seed, double seconds, std::size_t engines,
                               std::size_t gateways)
{
    std::mt19937_64 random(seed);
    std::vector<arrival> all;
    const double scale = static_cast<double>(engines) / reference_engines;
    for (std::size_t i = 0; i < prompt_kinds().size(); ++i)
    {
        const auto& kind = prompt_kinds()[i];
        std::exponential_distribution<double> gap(kind.mean_rate_per_s *
                                                  kind.peak_factor * scale);
        std::uniform_real_distribution<double> threshold(0, kind.peak_factor);
        for (double at = gap(random); at < seconds; at += gap(random))
        {
            if (threshold(random) < rate_factor(kind, at)) // thinned to the current rate
            {
                all.push_back({at * 1'000, i, pick_length(kind, random),
                               pick_customer(random), random() % gateways});
            }
        }
    }
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b) { return a.time < b.time; });
    return all;
}

} // namespace pistachiopost::model
