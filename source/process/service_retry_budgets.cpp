#include "process/service_retry_budgets.hpp"

namespace pistachiopost {

namespace {

// Share of the slack that is used. The rest covers gateways that are not known yet.
constexpr double used_slack_share = 0.6;
// Share of the allowed ratio that is used. The rest covers requests that were counted in
// an earlier window.
constexpr double used_ratio_share = 0.75;

} // namespace

void service_retry_budgets::set_gateway_count(std::size_t gateways)
{
    const std::lock_guard lock(mutex_);
    if (gateways > gateways_)
    {
        gateways_ = gateways;
        budgets_.clear(); // recreated with smaller shares
    }
}

void service_retry_budgets::set_limits(const repeat_limits& limits)
{
    const std::lock_guard lock(mutex_);
    if (limits != limits_)
    {
        limits_ = limits;
        budgets_.clear(); // recreated with the new limits
    }
}

void service_retry_budgets::earn(std::string_view service, time_point now)
{
    const std::lock_guard lock(mutex_);
    budget_for(service, now).earn(now);
}

bool service_retry_budgets::try_spend(std::string_view service, time_point now)
{
    const std::lock_guard lock(mutex_);
    return budget_for(service, now).try_spend(now);
}

retry_budget& service_retry_budgets::budget_for(std::string_view service, time_point now)
{
    const auto known = budgets_.find(service);
    if (known != budgets_.end())
    {
        return known->second;
    }
    // Half of the slack is burst capacity, the other half is refilled over one window.
    const double share =
        limits_.slack * used_slack_share / static_cast<double>(gateways_);
    const double window_s = std::chrono::duration<double>(limits_.window).count();
    return budgets_
        .try_emplace(std::string(service), limits_.ratio * used_ratio_share,
                     share / 2 / window_s, share / 2, now)
        .first->second;
}

} // namespace pistachiopost
