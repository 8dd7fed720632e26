/// \file
/// Reads metrics back from the text form that gateways serve.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// A text is not metrics of a gateway. The message names the line.
class metrics_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// One value of a metric.
struct metric_value
{
    std::string name;
    std::map<std::string, std::string, std::less<>> labels;
    double value = 0;

    /// Returns a label; empty if there is none.
    [[nodiscard]] std::string_view label(std::string_view which) const;
};

/// What one gateway said at one moment.
struct metrics_sample
{
    std::string vm;
    double time_s = 0; ///< Unix time.
    std::vector<metric_value> values;
};

/// Reads answers of `GET /metrics`, one after the other in `text`. Each begins with the
/// metric pistachiopost_gateway_info. Throws metrics_error.
std::vector<metrics_sample> read_metrics(std::string_view text);

} // namespace pistachiopost
