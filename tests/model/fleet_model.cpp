#include "model/fleet_model.hpp"

#include <fmt/format.h>

namespace pistachiopost::model {

namespace {

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

/// Returns the share of answers on time in the second with the most requests.
double peak_second_share(const run_result& it)
{
    const auto most =
        std::max_element(it.requests_per_second.begin(), it.requests_per_second.end());
    const auto n = static_cast<std::size_t>(most - it.requests_per_second.begin());
    return share(n < it.on_time_per_second.size() ? it.on_time_per_second[n] : 0, *most);
}

double worst_customer_share(const run_result& it)
{
    double worst = 1;
    for (std::size_t i = 0; i < customer_count; ++i)
    {
        worst =
            std::min(worst, share(it.on_time_by_customer[i], it.requests_by_customer[i]));
    }
    return worst;
}

} // namespace

engine_cost_model largest_engine()
{
    engine_cost_model it;
    it.slots = 16;
    it.memory_tokens = 232'000;
    it.step_ms = 1.02;
    it.step_ms_per_sequence = 0.00226;
    it.step_ms_per_1k_context = 0.00431;
    it.prefill_tokens_per_ms = 206;
    it.prefill_ms_per_million_pairs = 0.138;
    it.prefill_chunk_tokens = 2'048;
    it.steps_per_pass = 43;
    return it;
}

double caller_timeout_ms(const prompt_kind& kind)
{
    return std::max({2'000.0, 4 * kind.first_event_target_ms, 8 * kind.gap_target_ms});
}

double earned_worth(const run_result& result)
{
    double earned = 0;
    double due = 0;
    for (std::size_t i = 0; i < result.kinds.size(); ++i)
    {
        const auto& it = result.kinds[i];
        const auto& kind = prompt_kinds()[i];
        const auto on_time = static_cast<double>(it.on_time);
        earned += kind.worth * on_time +
                  kind.late_worth * (static_cast<double>(it.served) - on_time);
        due += kind.worth * static_cast<double>(it.requests);
    }
    return due == 0 ? 1 : earned / due;
}

std::string to_table(std::string_view policy, const run_result& result)
{
    std::string out;
    for (std::size_t i = 0; i < result.kinds.size(); ++i)
    {
        const auto& it = result.kinds[i];
        out += fmt::format(
            "| {} | {} | {} | {:.3f} | {:.3f} | {:.0f} | {:.0f} | {:.0f} | "
            "{:.3f} |\n",
            policy, prompt_kinds()[i].name, it.requests, share(it.on_time, it.requests),
            share(it.served, it.requests), quantile(it.first_event_ms, 0.5),
            quantile(it.first_event_ms, 0.95), quantile(it.first_event_ms, 0.99),
            share(it.late_gaps, std::max<std::size_t>(it.served, 1)));
    }
    out += fmt::format("| {} | all: worth {:.3f}, in the peak second {:.3f}, worst "
                       "customer {:.3f}, {:.1f}M prompt tokens wasted |\n",
                       policy, earned_worth(result), peak_second_share(result),
                       worst_customer_share(result), result.wasted_prompt_tokens / 1e6);
    return out;
}

} // namespace pistachiopost::model
