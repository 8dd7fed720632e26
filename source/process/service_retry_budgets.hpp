/// \file
/// Retry budgets of the services, shared by all gateways.
#pragma once

#include "process/retry_budget.hpp"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Limit on the retries sent to one service by all gateways together.
struct repeat_limits
{
    double ratio = 0.2; ///< Retries per request.
    double slack = 100; ///< Additional retries per window.
    milliseconds window{10'000};

    bool operator==(const repeat_limits&) const = default;
};

/// This gateway's share of the limit, for each service. Thread-safe.
class service_retry_budgets
{
public:
    explicit service_retry_budgets(const repeat_limits& limits) : limits_(limits) {}

    /// Sets the number of gateways that share the limit. The number never decreases,
    /// because an unreachable gateway may still send retries.
    void set_gateway_count(std::size_t gateways);
    /// Applies changed limits and resets the accumulated budgets.
    void set_limits(const repeat_limits& limits);
    /// Credits the budget of a service for one request.
    void earn(std::string_view service, time_point now);
    /// Spends one retry; returns false if this gateway's share is exhausted.
    bool try_spend(std::string_view service, time_point now);

private:
    // Minimum number of gateways that the slack is divided among: the entry VMs of
    // current deployments and a spare one.
    static constexpr std::size_t min_gateways = 4;

    retry_budget& budget_for(std::string_view service, time_point now);

    std::mutex mutex_;
    repeat_limits limits_;
    std::size_t gateways_ = min_gateways;
    std::map<std::string, retry_budget, std::less<>> budgets_;
};

} // namespace pistachiopost
