/// \file
/// Parses the metrics of gateways from the Prometheus text format.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Malformed metrics. The message names the line.
class metrics_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// One time series value.
struct metric_value
{
    std::string name;
    std::map<std::string, std::string, std::less<>> labels;
    double value = 0;

    /// Returns the value of a label, or an empty view if the label is absent.
    [[nodiscard]] std::string_view label(std::string_view key) const;
};

/// Metrics of one gateway at one moment.
struct metrics_sample
{
    std::string vm;
    double time_s = 0; ///< Unix time, in seconds.
    std::vector<metric_value> values;
};

/// Parses the concatenated responses to `GET /metrics` in `text`. Each response begins
/// with the metric pistachiopost_gateway_info. Throws metrics_error.
std::vector<metrics_sample> parse_metrics(std::string_view text);

} // namespace pistachiopost
