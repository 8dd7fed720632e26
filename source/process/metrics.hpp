/// \file
/// Counters and latency records of a process, kept by Boost.Accumulators.
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

/// Latencies of one kind. Counts by bound can be added up between processes;
/// the mean and the longest cannot be rebuilt from them and are kept beside.
class latency_record
{
public:
    /// Upper bounds of the counted ranges.
    static constexpr std::array<milliseconds, 10> bounds{
        milliseconds{10},     milliseconds{33},     milliseconds{100},
        milliseconds{330},    milliseconds{660},    milliseconds{1'000},
        milliseconds{3'300},  milliseconds{10'000}, milliseconds{33'000},
        milliseconds{120'000}};

    /// Adds one latency.
    void add(steady::duration latency);
    /// Returns how many latencies were at or under each bound, then all of them.
    [[nodiscard]] std::array<std::uint64_t, bounds.size() + 1> counts() const;
    /// Returns the sum, in seconds.
    [[nodiscard]] double sum_seconds() const;

private:
    boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count,
                                           boost::accumulators::tag::sum,
                                           boost::accumulators::tag::max>>
        values_;
    std::array<std::uint64_t, bounds.size() + 1> ranges_{};
};

/// Adds a record to `out` in the text form that metric collectors read.
void add_histogram(std::string& out, std::string_view name, length_class which,
                   const latency_record& record);

/// The metrics of an entry. Thread-safe; size does not grow with customers.
class entry_metrics
{
public:
    /// Counts an answered request.
    void answered(length_class which, steady::duration first_token,
                  steady::duration total);
    /// Counts a refused or failed request.
    void refused(refusal_reason reason);
    /// Counts an attempt beyond the first of a request.
    void retried(std::uint64_t attempts);
    /// Returns the text form that metric collectors read.
    [[nodiscard]] std::string text(std::uint64_t configuration_version) const;

private:
    mutable std::mutex mutex_;
    std::array<latency_record, length_class_count> first_token_;
    std::array<latency_record, length_class_count> total_;
    std::map<refusal_reason, std::uint64_t> refusals_;
    std::uint64_t retries_ = 0;
};

} // namespace pistachiopost
