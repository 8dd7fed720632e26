/// \file
/// Counts requests by service grade, prompt length and customer.
#pragma once

#include "request/length_class.hpp"
#include "request/time_types.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Service level that a request received.
enum class service_grade
{
    on_time, ///< First event, event gaps and end within the targets of the route.
    late,    ///< Answered, but a target was missed.
    failed   ///< Not answered.
};

inline constexpr std::size_t service_grade_count = 3;

/// Returns the name of `grade`, as used in metrics and reports.
std::string_view to_string(service_grade grade);

/// Counts by grade.
using grade_counts = std::array<std::uint64_t, service_grade_count>;

/// The counters of a process. Not thread-safe.
class service_grades
{
public:
    /// Counts one request.
    void add(length_class length, std::string_view customer, service_grade grade);
    /// Appends the counters to `out` in the Prometheus text format.
    void add_text(std::string& out) const;

private:
    // Customers counted individually; further ones share one name. Bounds the metrics to
    // 2,400 lines of about 90 bytes each.
    static constexpr std::size_t max_named_customers = 200;

    std::map<std::string, std::array<grade_counts, length_class_count>, std::less<>>
        customers_;
};

} // namespace pistachiopost
