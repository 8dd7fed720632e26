/// \file
/// Counters and latency records of a gateway.
#pragma once

#include "process/metrics.hpp"
#include "process/service_grades.hpp"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiopost {

/// What a gateway is like at one moment.
struct gateway_gauges
{
    std::string_view vm;
    double time_s = 0;           ///< Unix time.
    std::uint64_t version = 0;   ///< Of the configuration in force.
    std::size_t waiting = 0;     ///< Requests without a place.
    std::size_t connections = 0; ///< Of callers.
};

/// The metrics of a gateway. Thread-safe; size is bounded.
class gateway_metrics
{
public:
    /// Counts a request by how it ended.
    void ended(std::string_view outcome);
    /// Counts the time to the first event or to the whole answer, by prompt length.
    void answered(length_class which, steady::duration latency);
    /// Counts how well a request was served.
    void graded(length_class which, std::string_view customer, service_grade grade);
    /// Counts something else that happened, by name.
    void count(std::string_view name);
    /// Returns the text form that metric collectors read.
    [[nodiscard]] std::string text(const gateway_gauges& gauges) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> ended_;
    std::map<std::string, std::uint64_t, std::less<>> counts_;
    std::array<latency_histogram, length_class_count> answered_;
    service_grades grades_;
};

} // namespace pistachiopost
