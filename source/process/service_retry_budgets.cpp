#include "process/service_retry_budgets.hpp"

#include <algorithm>

namespace pistachiopost {

namespace {

// Share of the slack that is used. The rest covers gateways that are not known yet.
constexpr double used_slack_share = 0.6;
// Share of the allowed ratio that is used. The rest covers requests that were counted in
// an earlier window.
constexpr double used_ratio_share = 0.75;

} // namespace

void service_retry_budgets::set_gateway_count(std::size_t gateways, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (gateways > gateways_)
    {
        gateways_ = gateways;
        apply_rates(now);
    }
}

void service_retry_budgets::set_live_gateways(std::size_t gateways, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (gateways != live_gateways_)
    {
        live_gateways_ = gateways;
        apply_rates(now);
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
    ++own_count(service).requests;
    budget_for(service, now).earn(now);
}

bool service_retry_budgets::try_spend(std::string_view service, time_point now)
{
    const std::lock_guard lock(mutex_);
    if (!budget_for(service, now).try_spend(now, reserve_for_others(service)))
    {
        return false;
    }
    auto& count = own_count(service);
    ++count.retries;
    ++unreported_retries_[count.service];
    return true;
}

bool service_retry_budgets::can_spend(std::string_view service, time_point now)
{
    const std::lock_guard lock(mutex_);
    return budget_for(service, now).can_spend(now, reserve_for_others(service));
}

/// Until a retry is reported, all others may make one as well.
double service_retry_budgets::reserve_for_others(std::string_view service) const
{
    const auto it = unreported_retries_.find(service);
    return it == unreported_retries_.end()
               ? 0
               : static_cast<double>(it->second * (live_gateways_ - 1));
}

std::vector<retry_count> service_retry_budgets::take_counts()
{
    const std::lock_guard lock(mutex_);
    unreported_retries_.clear();
    std::vector<retry_count> list;
    for (const auto& [service, it] : own_counts_)
    {
        list.push_back(it);
    }
    return list;
}

void service_retry_budgets::apply_counts(std::string_view gateway, std::uint64_t boot,
                                         std::span<const retry_count> counts,
                                         time_point now)
{
    const std::lock_guard lock(mutex_);
    auto peer = peers_.find(gateway);
    const bool is_new = peer == peers_.end();
    if (is_new)
    {
        peer = peers_.emplace(std::string(gateway), peer_counts{}).first;
    }
    if (peer->second.boot != boot)
    {
        peer->second = {boot, {}};
    }
    for (const auto& it : counts)
    {
        auto& known = peer->second.services[it.service];
        // The counts of a gateway heard for the first time may be old.
        if (!is_new && it.requests >= known.requests && it.retries >= known.retries)
        {
            auto& budget = budget_for(it.service, now);
            budget.earn(now, it.requests - known.requests);
            // The bound covers a retry of every gateway at once; beyond it a wrong
            // report would stop retries for long.
            const auto max_debt =
                shared_slack() / 2 + 2 * static_cast<double>(live_gateways_);
            budget.charge(now, it.retries - known.retries, max_debt);
        }
        known = it;
    }
}

double service_retry_budgets::shared_slack() const
{
    const auto live = std::min(live_gateways_, gateways_);
    return limits_.slack * used_slack_share * static_cast<double>(live) /
           static_cast<double>(gateways_);
}

void service_retry_budgets::apply_rates(time_point now)
{
    const double window_s = std::chrono::duration<double>(limits_.window).count();
    for (auto& [service, it] : budgets_)
    {
        it.set_rate(shared_slack() / 2 / window_s, shared_slack() / 2, now);
    }
}

retry_budget& service_retry_budgets::budget_for(std::string_view service, time_point now)
{
    const auto known = budgets_.find(service);
    if (known != budgets_.end())
    {
        return known->second;
    }
    // Half of the slack is burst capacity, the other half is refilled over one window.
    const double share = shared_slack();
    const double window_s = std::chrono::duration<double>(limits_.window).count();
    return budgets_
        .try_emplace(std::string(service), limits_.ratio * used_ratio_share,
                     share / 2 / window_s, share / 2, now)
        .first->second;
}

retry_count& service_retry_budgets::own_count(std::string_view service)
{
    auto it = own_counts_.find(service);
    if (it == own_counts_.end())
    {
        it = own_counts_.emplace(std::string(service), retry_count{std::string(service)})
                 .first;
    }
    return it->second;
}

} // namespace pistachiopost
