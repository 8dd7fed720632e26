#include "process/admission/customer_costs.hpp"

#include <algorithm>

namespace pistachiopost {

void customer_costs::add(std::string_view customer, double cost_ms)
{
    const auto it = costs_ms_.find(customer);
    if (it != costs_ms_.end())
    {
        it->second += cost_ms;
        return;
    }
    double least = 0;
    if (!costs_ms_.empty())
    {
        const auto by_cost = [](const auto& a, const auto& b) {
            return a.second < b.second;
        };
        least = std::min_element(costs_ms_.begin(), costs_ms_.end(), by_cost)->second;
    }
    costs_ms_.emplace(customer, least + cost_ms);
}

double customer_costs::cost_ms(std::string_view customer) const
{
    const auto it = costs_ms_.find(customer);
    return it == costs_ms_.end() ? 0 : it->second;
}

} // namespace pistachiopost
