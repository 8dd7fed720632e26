/// \file
/// Counters and latency histograms of a process.
#pragma once

#include "request/length_class.hpp"
#include "request/refusal.hpp"
#include "request/time_types.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Latency histogram with fixed buckets. Bucket counts of several processes can be
/// summed; the sum and the maximum cannot be derived from them and are accumulated
/// separately.
class latency_histogram
{
public:
    /// Upper bounds of the buckets, inclusive.
    static constexpr std::array<milliseconds, 10> bounds{
        milliseconds{10},     milliseconds{33},     milliseconds{100},
        milliseconds{330},    milliseconds{660},    milliseconds{1'000},
        milliseconds{3'300},  milliseconds{10'000}, milliseconds{33'000},
        milliseconds{120'000}};

    /// Records one latency.
    void add(steady::duration latency);
    /// Returns the cumulative count for each bound, followed by the total count.
    [[nodiscard]] std::array<std::uint64_t, bounds.size() + 1> cumulative_counts() const;
    /// Returns the sum of all latencies, in seconds.
    [[nodiscard]] double sum_seconds() const;

private:
    boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count,
                                           boost::accumulators::tag::sum,
                                           boost::accumulators::tag::max>>
        statistics_;
    std::array<std::uint64_t, bounds.size() + 1> buckets_{};
};

/// Appends a histogram to `out` in the Prometheus text format.
void add_histogram(std::string& out, std::string_view name, length_class prompt_class,
                   const latency_histogram& histogram);

/// Metrics of an entry. Thread-safe. The size does not depend on the number of customers.
class entry_metrics
{
public:
    /// Records an answered request.
    void answered(length_class prompt_class, steady::duration first_token,
                  steady::duration total);
    /// Records a refused or failed request.
    void refused(refusal_reason reason);
    /// Records the attempts of a request beyond its first.
    void retried(std::uint64_t attempts);
    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text(std::uint64_t configuration_version) const;

private:
    mutable std::mutex mutex_;
    std::array<latency_histogram, length_class_count> first_token_;
    std::array<latency_histogram, length_class_count> total_;
    std::map<refusal_reason, std::uint64_t> refusals_;
    std::uint64_t retries_ = 0;
};

} // namespace pistachiopost
