#include "process/service_grades.hpp"

#include <fmt/format.h>

namespace pistachiopost {

namespace {

constexpr std::string_view other_customers = "(others)";

} // namespace

std::string_view to_string(service_grade grade)
{
    switch (grade)
    {
    case service_grade::on_time:
        return "on_time";
    case service_grade::late:
        return "late";
    case service_grade::failed:
        break;
    }
    return "failed";
}

void service_grades::add(length_class length, std::string_view customer,
                         service_grade grade)
{
    auto it = customers_.find(customer);
    if (it == customers_.end())
    {
        const bool full = customers_.size() >= max_named_customers;
        it = customers_.try_emplace(std::string(full ? other_customers : customer)).first;
    }
    ++it->second[static_cast<std::size_t>(length)][static_cast<std::size_t>(grade)];
}

void service_grades::add_text(std::string& out) const
{
    out += "# TYPE pistachiopost_served_total counter\n";
    for (const auto& [customer, classes] : customers_)
    {
        for (std::size_t i = 0; i < length_class_count; ++i)
        {
            for (std::size_t grade = 0; grade < service_grade_count; ++grade)
            {
                if (const auto n = classes[i][grade]; n > 0)
                {
                    out += fmt::format(
                        "pistachiopost_served_total{{class=\"{}\",grade=\"{}\","
                        "customer=\"{}\"}} {}\n",
                        to_string(static_cast<length_class>(i)),
                        to_string(static_cast<service_grade>(grade)), customer, n);
                }
            }
        }
    }
}

} // namespace pistachiopost
