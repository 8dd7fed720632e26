#include "model/load.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiopost::model {

namespace {

// Duration of one peak.
constexpr double turn_s = 4;
// Rate of a kind outside its peak, relative to its mean.
constexpr double trough = 0.6;
// Fleet size for which the rates of the kinds are given.
constexpr double sheet_engines = 16;

double swing_at(const prompt_kind& kind, double second)
{
    const bool short_turn = std::fmod(second, 2 * turn_s) >= turn_s;
    const bool is_short = kind.pause_ms <= 250;
    return short_turn == is_short ? kind.swing : trough;
}

std::uint64_t pick_length(const prompt_kind& kind, std::mt19937_64& random)
{
    // Log-uniform, with a mean of about kind.tokens.
    constexpr double shortest = 0.35;
    constexpr double longest = 2.4;
    std::uniform_real_distribution<double> spread(std::log(shortest), std::log(longest));
    return static_cast<std::uint64_t>(kind.tokens * std::exp(spread(random)));
}

std::size_t pick_customer(std::mt19937_64& random)
{
    constexpr std::size_t large = 3;
    return random() % 2 == 0 ? random() % large : random() % customers;
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
    const double scale = static_cast<double>(engines) / sheet_engines;
    for (std::size_t i = 0; i < prompt_kinds().size(); ++i)
    {
        const auto& kind = prompt_kinds()[i];
        std::exponential_distribution<double> gap(kind.per_second * kind.swing * scale);
        std::uniform_real_distribution<double> keep(0, kind.swing);
        for (double at = gap(random); at < seconds; at += gap(random))
        {
            if (keep(random) < swing_at(kind, at)) // thinned to the current rate
            {
                all.push_back({at * 1'000, i, pick_length(kind, random),
                               pick_customer(random), random() % gateways});
            }
        }
    }
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    return all;
}

} // namespace pistachiopost::model
