#include "process/burn_report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace pistachiopost {

namespace {

constexpr std::string_view served_metric = "pistachiopost_served_total";

/// Length class, customer and service grade of a counter.
using counter_key = std::tuple<std::size_t, std::string, std::size_t>;
using counters = std::map<counter_key, std::uint64_t>;

template <typename Enum>
std::size_t index_of(std::string_view name, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        if (to_string(static_cast<Enum>(i)) == name)
        {
            return i;
        }
    }
    throw metrics_error(
        fmt::format("{}: unknown label value \"{}\"", served_metric, name));
}

counters served_counters(const metrics_sample& sample)
{
    counters result;
    for (const auto& it : sample.values)
    {
        if (it.name != served_metric)
        {
            continue;
        }
        const auto class_index =
            index_of<length_class>(it.label("class"), length_class_count);
        const auto grade =
            index_of<service_grade>(it.label("grade"), service_grade_count);
        result[{class_index, std::string(it.label("customer")), grade}] =
            static_cast<std::uint64_t>(it.value);
    }
    return result;
}

void add(burn_summary& into, const burn_summary& from)
{
    for (std::size_t i = 0; i < service_grade_count; ++i)
    {
        into.counts[i] += from.counts[i];
    }
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

/// Returns the burn rate: the share of bad requests divided by the share that the
/// objective allows.
double budget_burn_rate(double good, double objective)
{
    constexpr double min_error_budget = 1e-6; // an objective of 1 leaves none
    return (1 - good) / std::max(1 - objective, min_error_budget);
}

bool is_short(std::size_t class_index)
{
    return !is_long(static_cast<length_class>(class_index));
}

burn_summary short_prompts(const burn_window& window)
{
    burn_summary it;
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        if (is_short(i))
        {
            add(it, window.classes[i]);
        }
    }
    return it;
}

std::uint64_t long_prompt_count(const burn_window& window)
{
    return window.all_classes().total() - short_prompts(window).total();
}

/// Splits the windows by their number of long prompts into two halves and sums the short
/// prompts of each half.
void split_short_prompts(burn_report& report)
{
    auto windows = report.windows;
    std::stable_sort(windows.begin(), windows.end(), [](const auto& a, const auto& b) {
        return long_prompt_count(a) < long_prompt_count(b);
    });
    for (std::size_t i = 0; i < windows.size(); ++i)
    {
        const bool many_long_prompts = i >= windows.size() / 2;
        add(many_long_prompts ? report.short_beside_long : report.short_alone,
            short_prompts(windows[i]));
    }
}

/// Intermediate state while the samples are processed.
struct report_state
{
    std::map<std::string, counters> last_counters; ///< By VM of the gateway.
    std::map<std::int64_t, burn_window> windows;
    std::map<std::string, burn_summary> customers;
};

std::vector<const metrics_sample*> sorted_by_time(std::span<const metrics_sample> from)
{
    std::vector<const metrics_sample*> result;
    for (const auto& it : from)
    {
        result.push_back(&it);
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const auto* a, const auto* b) { return a->time_s < b->time_s; });
    return result;
}

/// Adds the increase of the counters of a gateway since its previous sample.
void add_sample(const metrics_sample& sample, burn_report& report, report_state& into)
{
    const auto window_index =
        static_cast<std::int64_t>(std::floor(sample.time_s / report.window_s));
    auto& window = into.windows[window_index];
    window.from_s = static_cast<double>(window_index) * report.window_s;
    auto& previous = into.last_counters[sample.vm];
    const auto current = served_counters(sample);
    for (const auto& [key, n] : current)
    {
        const auto& [class_index, customer, grade] = key;
        const auto previous_n = previous[key];
        const auto increase = n >= previous_n ? n - previous_n : n;
        window.classes[class_index].counts[grade] += increase;
        report.by_class[class_index].counts[grade] += increase;
        auto& summary = into.customers[customer];
        summary.name = customer.empty() ? "(no customer)" : customer;
        summary.counts[grade] += increase;
    }
    previous = current;
}

void add_windows(burn_report& report, const report_state& from)
{
    for (const auto& [window_index, it] : from.windows)
    {
        const auto all = it.all_classes();
        if (all.total() == 0)
        {
            continue;
        }
        report.windows.push_back(it);
        if (all.total() > report.busiest_window.total())
        {
            report.busiest_window.counts = all.counts;
        }
    }
}

void add_customers(burn_report& report, const report_state& from)
{
    for (const auto& [name, it] : from.customers)
    {
        report.by_customer.push_back(it);
    }
    std::stable_sort(report.by_customer.begin(), report.by_customer.end(),
                     [&](const auto& a, const auto& b) {
                         return a.burn_rate(report.objectives) >
                                b.burn_rate(report.objectives);
                     });
}

std::string format_row(const burn_summary& it, const service_objectives& objectives)
{
    return fmt::format("{:24} {:>9} {:>9.2f} {:>9.2f} {:>9.2f}\n", it.name, it.total(),
                       100 * it.on_time_share(), 100 * it.served_share(),
                       it.burn_rate(objectives));
}

} // namespace

std::uint64_t burn_summary::total() const
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

double burn_summary::on_time_share() const
{
    return share(counts[static_cast<std::size_t>(service_grade::on_time)], total());
}

double burn_summary::served_share() const
{
    return 1 - (total() == 0
                    ? 0
                    : share(counts[static_cast<std::size_t>(service_grade::failed)],
                            total()));
}

double burn_summary::burn_rate(const service_objectives& it) const
{
    return std::max(budget_burn_rate(on_time_share(), it.on_time),
                    budget_burn_rate(served_share(), it.served));
}

burn_summary burn_window::all_classes() const
{
    burn_summary sum;
    for (const auto& it : classes)
    {
        add(sum, it);
    }
    return sum;
}

burn_report make_burn_report(std::span<const metrics_sample> samples,
                             const service_objectives& objectives, double window_s)
{
    burn_report report;
    report.objectives = objectives;
    report.window_s = window_s;
    report.busiest_window.name = "busiest window";
    report.short_beside_long.name = "short beside most long";
    report.short_alone.name = "short beside fewest long";
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        report.by_class.push_back(
            {std::string(to_string(static_cast<length_class>(i))), {}});
    }
    report_state counts;
    for (const auto* sample : sorted_by_time(samples))
    {
        add_sample(*sample, report, counts);
    }
    add_windows(report, counts);
    split_short_prompts(report);
    add_customers(report, counts);
    return report;
}

std::string to_text(const burn_report& report)
{
    // The JSON form lists all customers.
    constexpr std::size_t max_customers_shown = 10;
    auto out =
        fmt::format("objectives: {:g}% on time, {:g}% served; windows of {:g} s\n"
                    "{:24} {:>9} {:>9} {:>9} {:>9}\n",
                    100 * report.objectives.on_time, 100 * report.objectives.served,
                    report.window_s, "", "requests", "% on time", "% served", "burn");
    for (const auto& it : report.by_class)
    {
        out += format_row(it, report.objectives);
    }
    out += format_row(report.busiest_window, report.objectives);
    out += format_row(report.short_beside_long, report.objectives);
    out += format_row(report.short_alone, report.objectives);
    out += "\ncustomers, highest burn rate first\n";
    const auto n = std::min(max_customers_shown, report.by_customer.size());
    for (std::size_t i = 0; i < n; ++i)
    {
        out += format_row(report.by_customer[i], report.objectives);
    }
    return out;
}

} // namespace pistachiopost
