/// \file
/// The command `pistachiopost report`.
#pragma once

#include <span>
#include <stdexcept>
#include <string>

namespace pistachiopost {

/// Flags of the command.
struct report_options
{
    double on_time = 0.95; ///< Objective, as a share of requests.
    double served = 0.99;  ///< Objective, as a share of requests.
    double window_s = 60;
    std::string output; ///< text, json or html.
};

/// Invalid command. The message states the correct usage.
class report_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Runs {"report", "burn", FILE...}. Returns the exit code. Throws report_error and
/// metrics_error.
int run_report(std::span<const std::string> words, const report_options& options);

} // namespace pistachiopost
