/// \file
/// Bounds on repeated sends to each service, shared by all gateways.
#pragma once

#include "process/retry_budget.hpp"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiopost {

/// The bound on the repeats of a service, over all gateways.
struct repeat_limits
{
    double ratio = 0.2; ///< Repeats for each request.
    double slack = 100; ///< Repeats beyond that in one window.
    milliseconds window{10'000};

    bool operator==(const repeat_limits&) const = default;
};

/// This gateway's share of the bound, for each service. Thread-safe.
class service_retry_budgets
{
public:
    explicit service_retry_budgets(const repeat_limits& limits) : limits_(limits) {}

    /// Says how many gateways are known to share the bound. The number only grows: a
    /// gateway that is not heard may still run.
    void set_gateway_count(std::size_t gateways);
    /// Takes changed limits; what was saved up is divided anew.
    void set_limits(const repeat_limits& limits);
    /// Counts a request for a service.
    void earn(std::string_view service, time_point now);
    /// Takes one repeat; false if this gateway's share is spent.
    bool try_spend(std::string_view service, time_point now);

private:
    // Gateways that the slack is divided among before more are known: the entry VMs of
    // today's deployments and a spare one.
    static constexpr std::size_t min_gateways = 4;

    retry_budget& budget_for(std::string_view service, time_point now);

    std::mutex mutex_;
    repeat_limits limits_;
    std::size_t gateways_ = min_gateways;
    std::map<std::string, retry_budget, std::less<>> budgets_;
};

} // namespace pistachiopost
