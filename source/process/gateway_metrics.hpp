/// \file
/// Counters and latency histograms of a gateway.
#pragma once

#include "process/metrics.hpp"
#include "process/service_grades.hpp"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Gauges of a gateway, sampled when metrics are collected.
struct gateway_gauges
{
    std::string_view vm;
    double time_s = 0;                 ///< Unix time.
    std::uint64_t version = 0;         ///< Of the configuration in force.
    std::size_t waiting = 0;           ///< Requests waiting for a placement.
    std::size_t connections = 0;       ///< Of callers.
    std::size_t blocked_suspects = 0;  ///< Whose requests are refused.
    std::size_t evacuated_zones = 0;   ///< That get no requests.
    std::size_t cold_backends = 0;     ///< Backend servers that are cold.
    std::uint64_t cold_placements = 0; ///< Parts of attempts placed at cold ones.
    std::uint64_t cold_withheld = 0;   ///< Times that one was not offered to a request.
    std::uint64_t store_era = 0;       ///< Of the rows followed; 0 if unknown.
    std::uint64_t memory_bytes = 0;    ///< Taken from the memory budget.
};

/// The metrics of a gateway. Thread-safe; bounded in size.
class gateway_metrics
{
public:
    /// Counts a completed request by its outcome.
    void record_outcome(std::string_view outcome);
    /// Records the time to the first event or to the complete answer, by prompt length.
    void record_latency(length_class length, steady::duration latency);
    /// Counts a completed request by its grade.
    void record_grade(length_class length, std::string_view customer,
                      service_grade grade);
    /// Increments the counter `name`.
    void increment(std::string_view name);
    /// Returns the metrics in the Prometheus text format.
    [[nodiscard]] std::string text(const gateway_gauges& gauges) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> outcomes_;
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::array<latency_histogram, length_class_count> latencies_;
    service_grades grades_;
};

} // namespace pistachiopost
