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
};

/// This gateway's share of the bound, for each service. Thread-safe.
class service_budgets
{
public:
    explicit service_budgets(const repeat_limits& limits) : limits_(limits) {}

    /// Counts a request for a service.
    void earn(std::string_view service, time_point now);
    /// Takes one repeat; false if this gateway's share is spent.
    bool try_spend(std::string_view service, time_point now);

private:
    retry_budget& of(std::string_view service, time_point now);

    std::mutex mutex_;
    repeat_limits limits_;
    std::map<std::string, retry_budget, std::less<>> budgets_;
};

} // namespace pistachiopost
