/// \file
/// Engine time used by the customers of a gateway, for fairness among them.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Costs by customer since the queue was last empty. Not thread-safe.
class customer_costs
{
public:
    /// Adds `cost_ms` of engine time. A new customer starts at the level of the least
    /// served one, so that idle time does not accumulate as credit.
    void add(std::string_view customer, double cost_ms);
    /// Returns the engine time of a customer in milliseconds.
    [[nodiscard]] double cost_ms(std::string_view customer) const;
    void clear() { costs_ms_.clear(); }

private:
    std::map<std::string, double, std::less<>> costs_ms_;
};

} // namespace pistachiopost
