#include "model/overload_load.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace pistachiopost::model {

namespace {

constexpr double burst_s = 4;
constexpr std::size_t customers = 24;
constexpr std::size_t large_customers = 3;

std::uint64_t pick_length(const overload_kind& kind, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> spread(std::log(kind.least_tokens),
                                                  std::log(kind.most_tokens));
    return static_cast<std::uint64_t>(std::exp(spread(random)));
}

bool is_burst(double second)
{
    return std::fmod(second, 2 * burst_s) >= burst_s;
}

} // namespace

const std::vector<overload_kind>& overload_kinds()
{
    // The least lengths give the stated means; events per answer are those of the
    // deployments measured before.
    static const std::vector<overload_kind> all{
        {"short", 200, 23'800, 4'960, 32, 75.3, 300, 250, 10'000, 1.3, 0.34, 0, true},
        {"medium", 13'000, 110'000, 45'000, 19, 5.29, 1'500, 600, 10'000, 3.3, 0.82, 1,
         false},
        {"long", 60'000, 700'000, 260'000, 16, 1.72, 4'000, 1'000, 15'000, 34, 8.6, 2,
         false}};
    return all;
}

engine_cost_model overload_engine()
{
    engine_cost_model it;
    it.slots = 12;
    it.memory_tokens = 344'250;
    it.step_ms = 1.31;
    it.step_ms_per_sequence = 0.0029;
    it.step_ms_per_1k_context = 0.0055;
    it.prefill_tokens_per_ms = 154;
    it.prefill_ms_per_million_pairs = 0.185;
    it.prefill_chunk_tokens = 2'048;
    it.steps_per_pass = 38;
    return it;
}

double worth_factor(const overload_kind& kind, std::uint64_t tokens)
{
    constexpr double fixed_share = 0.3;
    constexpr double max_factor = 4;
    return std::min(max_factor, fixed_share + (1 - fixed_share) *
                                                  static_cast<double>(tokens) /
                                                  kind.mean_tokens);
}

double patience_ms(const overload_kind& kind)
{
    return std::max({2'000.0, 4 * kind.first_event_target_ms, 8 * kind.gap_target_ms});
}

overload_scene burst_scene(std::uint64_t seed)
{
    overload_scene it;
    it.seed = seed;
    it.burst_factor = 2.5;
    it.at_once_share = 0.5;
    it.leaving_share = 0.03;
    it.losses = {{10'000, 18'000, 0, 18}};
    return it;
}

overload_scene calm_scene(std::uint64_t seed)
{
    overload_scene it;
    it.seed = seed;
    it.rate_factor = 0.6; // with more, prompts of 600,000 tokens exceed the engines
    return it;
}

std::vector<overload_call> make_calls(const overload_scene& scene)
{
    std::mt19937_64 random(scene.seed);
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<overload_call> all;
    for (std::size_t i = 0; i < overload_kinds().size(); ++i)
    {
        const auto& kind = overload_kinds()[i];
        const double peak = kind.rate_per_s * scene.rate_factor * scene.burst_factor;
        std::exponential_distribution<double> gap(peak);
        for (double at = gap(random); at < scene.seconds; at += gap(random))
        {
            if (!is_burst(at) && share(random) * scene.burst_factor > 1)
            {
                continue; // thinned to the rate between bursts
            }
            overload_call it{at * 1'000, i, pick_length(kind, random)};
            it.customer =
                random() % 2 == 0 ? random() % large_customers : random() % customers;
            it.manner = share(random) < scene.at_once_share
                            ? retry_manner::at_once
                            : retry_manner::honours_retry_after;
            if (share(random) < scene.leaving_share)
            {
                it.leaves_at = it.time + share(random) * patience_ms(kind);
            }
            all.push_back(it);
        }
    }
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b) { return a.time < b.time; });
    return all;
}

} // namespace pistachiopost::model
