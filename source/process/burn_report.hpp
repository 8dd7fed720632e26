/// \file
/// Burn rates of the error budgets of the service-level objectives.
///
/// An objective allows a share of bad requests. The burn rate is the share of bad
/// requests divided by the allowed share: at 1 the budget lasts exactly as long as its
/// period.
#pragma once

#include "process/metrics_sample.hpp"
#include "process/service_grades.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace pistachiopost {

/// Service-level objectives, as shares of requests.
struct service_objectives
{
    double on_time = 0.95; ///< Answered within the targets of the route.
    double served = 0.99;  ///< Answered, on time or late.
};

/// Requests of one group, counted by service grade.
struct burn_summary
{
    std::string name;
    grade_counts counts{};

    [[nodiscard]] std::uint64_t total() const;
    [[nodiscard]] double on_time_share() const;
    [[nodiscard]] double served_share() const;
    /// Returns the higher of the burn rates of the two objectives.
    [[nodiscard]] double burn_rate(const service_objectives& it) const;
};

/// Requests of one time window.
struct burn_window
{
    double from_s = 0; ///< Start, as Unix time in seconds.
    std::array<burn_summary, length_class_count> classes;

    [[nodiscard]] burn_summary all_classes() const;
};

/// Burn rates by length class, customer and time window.
struct burn_report
{
    service_objectives objectives;
    double window_s = 0;
    std::vector<burn_summary> by_class;    ///< By length class.
    std::vector<burn_summary> by_customer; ///< By descending burn rate.
    std::vector<burn_window> windows;      ///< In time order, without empty windows.
    burn_summary busiest_window;           ///< Window with the most requests.
    burn_summary short_beside_long; ///< Short prompts in the half with more long prompts.
    burn_summary short_alone; ///< Short prompts in the half with fewer long prompts.
};

/// Returns the report of `samples` with windows of `window_s` seconds. The counters of
/// the first sample of a gateway, and of a sample whose counters were reset by a restart,
/// are counted in full. Plain calls count as prompts of the shortest class.
burn_report make_burn_report(std::span<const metrics_sample> samples,
                             const service_objectives& objectives, double window_s);

/// Returns the report as text for a terminal.
std::string to_text(const burn_report& report);

} // namespace pistachiopost
