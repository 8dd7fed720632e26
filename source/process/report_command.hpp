/// \file
/// The command `pistachiopost report`.
#pragma once

#include <span>
#include <stdexcept>
#include <string>

namespace pistachiopost {

/// What the flags of the command say.
struct report_options
{
    double on_time = 0.95; ///< Objective.
    double served = 0.99;  ///< Objective.
    double window_s = 60;
    std::string output; ///< text, json or html.
};

/// The command is wrong. The message says what to type.
class report_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Runs {"report", "burn", FILE...}. Returns the exit code. Throws report_error and
/// metrics_error.
int run_report(std::span<const std::string> words, const report_options& options);

} // namespace pistachiopost
