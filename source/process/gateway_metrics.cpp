#include "process/gateway_metrics.hpp"

#include <fmt/format.h>

namespace pistachiopost {

namespace {

void increment_counter(std::map<std::string, std::uint64_t, std::less<>>& counts,
                       std::string_view name)
{
    const auto it = counts.find(name);
    if (it != counts.end())
    {
        ++it->second;
        return;
    }
    counts.emplace(name, 1);
}

} // namespace

void gateway_metrics::record_outcome(std::string_view outcome)
{
    const std::lock_guard lock(mutex_);
    increment_counter(outcomes_, outcome);
}

void gateway_metrics::record_latency(length_class length, steady::duration latency)
{
    const std::lock_guard lock(mutex_);
    latencies_[static_cast<std::size_t>(length)].add(latency);
}

void gateway_metrics::increment(std::string_view name)
{
    const std::lock_guard lock(mutex_);
    increment_counter(counters_, name);
}

void gateway_metrics::record_grade(length_class length, std::string_view customer,
                                   service_grade grade)
{
    const std::lock_guard lock(mutex_);
    grades_.add(length, customer, grade);
}

std::string gateway_metrics::text(const gateway_gauges& gauges) const
{
    const std::lock_guard lock(mutex_);
    auto out =
        fmt::format("# TYPE pistachiopost_gateway_info gauge\n"
                    "pistachiopost_gateway_info{{vm=\"{}\"}} 1\n"
                    "# TYPE pistachiopost_time_seconds gauge\n"
                    "pistachiopost_time_seconds {:.3f}\n"
                    "# TYPE pistachiopost_configuration_version gauge\n"
                    "pistachiopost_configuration_version {}\n"
                    "# TYPE pistachiopost_waiting_requests gauge\n"
                    "pistachiopost_waiting_requests {}\n"
                    "# TYPE pistachiopost_connections gauge\n"
                    "pistachiopost_connections {}\n"
                    "# TYPE pistachiopost_blocked_suspects gauge\n"
                    "pistachiopost_blocked_suspects {}\n"
                    "# TYPE pistachiopost_evacuated_zones gauge\n"
                    "pistachiopost_evacuated_zones {}\n"
                    "# TYPE pistachiopost_cold_backends gauge\n"
                    "pistachiopost_cold_backends {}\n"
                    "# TYPE pistachiopost_cold_placements_total counter\n"
                    "pistachiopost_cold_placements_total {}\n"
                    "# TYPE pistachiopost_cold_withheld_total counter\n"
                    "pistachiopost_cold_withheld_total {}\n"
                    "# TYPE pistachiopost_store_era gauge\n"
                    "pistachiopost_store_era {}\n"
                    "# TYPE pistachiopost_memory_bytes gauge\n"
                    "pistachiopost_memory_bytes {}\n"
                    "# TYPE pistachiopost_requests_total counter\n",
                    gauges.vm, gauges.time_s, gauges.version, gauges.waiting,
                    gauges.connections, gauges.blocked_suspects, gauges.evacuated_zones,
                    gauges.cold_backends, gauges.cold_placements, gauges.cold_withheld,
                    gauges.store_era, gauges.memory_bytes);
    for (const auto& [name, n] : outcomes_)
    {
        out +=
            fmt::format("pistachiopost_requests_total{{outcome=\"{}\"}} {}\n", name, n);
    }
    for (const auto& [name, n] : counters_)
    {
        out += fmt::format("# TYPE pistachiopost_{0}_total counter\n"
                           "pistachiopost_{0}_total {1}\n",
                           name, n);
    }
    grades_.add_text(out);
    out += "# TYPE pistachiopost_first_answer_seconds histogram\n";
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        add_histogram(out, "pistachiopost_first_answer_seconds",
                      static_cast<length_class>(i), latencies_[i]);
    }
    return out;
}

} // namespace pistachiopost
