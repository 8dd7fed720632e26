/// \file
/// How fast the error budgets of the service-level objectives are used up.
///
/// An objective allows a share of bad requests. The burn rate is the share that was bad
/// divided by the share allowed: at 1 the budget lasts exactly as long as its period.
#pragma once

#include "process/metrics_sample.hpp"
#include "process/service_grades.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace pistachiopost {

/// The objectives, as shares of requests.
struct service_objectives
{
    double on_time = 0.95; ///< First event and pauses within the route's targets.
    double served = 0.99;  ///< Answered at all.
};

/// Requests of one kind and what they used up.
struct burn_line
{
    std::string name;
    grade_counts counts{};

    [[nodiscard]] std::uint64_t total() const;
    [[nodiscard]] double on_time_share() const;
    [[nodiscard]] double served_share() const;
    /// Returns the higher of the two burn rates.
    [[nodiscard]] double burn(const service_objectives& it) const;
};

/// The requests of one stretch of time.
struct burn_window
{
    double from_s = 0; ///< Unix time.
    std::array<burn_line, length_class_count> classes;

    [[nodiscard]] burn_line all() const;
};

/// The report.
struct burn_report
{
    service_objectives objectives;
    double window_s = 0;
    std::vector<burn_line> by_class;    ///< By length of the prompt.
    std::vector<burn_line> by_customer; ///< The fastest burning first.
    std::vector<burn_window> windows;   ///< By time; those without requests left out.
    burn_line crest;                    ///< The window with most requests.
    burn_line short_beside_long;        ///< Short ones, windows with most long ones.
    burn_line short_alone;              ///< Short ones, windows with fewest long ones.
};

/// Makes the report of `samples` with windows of `window_s` seconds. The first sample of
/// a gateway counts from the start of its process, and so does one whose counters went
/// back. Plain calls count as prompts of the shortest class.
burn_report make_burn_report(std::span<const metrics_sample> samples,
                             const service_objectives& objectives, double window_s);

/// Returns the report as text for a terminal.
std::string to_text(const burn_report& report);

} // namespace pistachiopost
