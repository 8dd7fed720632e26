/// \file
/// Counters and latency records of a gateway.
#pragma once

#include "process/metrics.hpp"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiopost {

/// The metrics of a gateway. Thread-safe; size grows with routes' kinds only.
class gateway_metrics
{
public:
    /// Counts a request by how it ended.
    void ended(std::string_view outcome);
    /// Counts the time to the first event or to the whole answer, by prompt length.
    void answered(length_class which, steady::duration latency);
    /// Counts something else that happened, by name.
    void count(std::string_view name);
    /// Returns the text form that metric collectors read.
    [[nodiscard]] std::string text(std::uint64_t version, std::size_t waiting,
                                   std::size_t connections) const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t, std::less<>> ended_;
    std::map<std::string, std::uint64_t, std::less<>> counts_;
    std::array<latency_record, length_class_count> answered_;
};

} // namespace pistachiopost
