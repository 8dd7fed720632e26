#include "process/burn_report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace pistachiopost {

namespace {

constexpr std::string_view served_name = "pistachiopost_served_total";

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
    throw metrics_error(fmt::format("{}: unknown label value \"{}\"", served_name, name));
}

counters counters_of(const metrics_sample& sample)
{
    counters result;
    for (const auto& it : sample.values)
    {
        if (it.name != served_name)
        {
            continue;
        }
        const auto which = index_of<length_class>(it.label("class"), length_class_count);
        const auto grade =
            index_of<service_grade>(it.label("grade"), service_grade_count);
        result[{which, std::string(it.label("customer")), grade}] =
            static_cast<std::uint64_t>(it.value);
    }
    return result;
}

void add(burn_line& into, const burn_line& from)
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
double rate(double good, double objective)
{
    constexpr double strictest = 1e-6; // avoids division by zero for an objective of 1
    return (1 - good) / std::max(1 - objective, strictest);
}

bool is_short(std::size_t which)
{
    return !is_long(static_cast<length_class>(which));
}

burn_line short_ones(const burn_window& window)
{
    burn_line it;
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        if (is_short(i))
        {
            add(it, window.classes[i]);
        }
    }
    return it;
}

std::uint64_t long_ones(const burn_window& window)
{
    return window.all().total() - short_ones(window).total();
}

/// Splits the windows by their number of long prompts into two halves and sums the short
/// prompts of each half.
void compare_short(burn_report& report)
{
    auto windows = report.windows;
    std::stable_sort(windows.begin(), windows.end(), [](const auto& a, const auto& b) {
        return long_ones(a) < long_ones(b);
    });
    for (std::size_t i = 0; i < windows.size(); ++i)
    {
        const bool beside = i >= windows.size() / 2;
        add(beside ? report.short_beside_long : report.short_alone,
            short_ones(windows[i]));
    }
}

/// Intermediate state while the samples are processed.
struct counts_by
{
    std::map<std::string, counters> last; ///< Last counters of each gateway, by VM.
    std::map<std::int64_t, burn_window> windows;
    std::map<std::string, burn_line> customers;
};

std::vector<const metrics_sample*> in_order_of_time(std::span<const metrics_sample> from)
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
void count_sample(const metrics_sample& sample, burn_report& report, counts_by& into)
{
    const auto number =
        static_cast<std::int64_t>(std::floor(sample.time_s / report.window_s));
    auto& window = into.windows[number];
    window.from_s = static_cast<double>(number) * report.window_s;
    auto& before = into.last[sample.vm];
    const auto now = counters_of(sample);
    for (const auto& [key, n] : now)
    {
        const auto& [which, customer, grade] = key;
        const auto old = before[key];
        const auto added = n >= old ? n - old : n;
        window.classes[which].counts[grade] += added;
        report.by_class[which].counts[grade] += added;
        auto& line = into.customers[customer];
        line.name = customer.empty() ? "(no customer)" : customer;
        line.counts[grade] += added;
    }
    before = now;
}

void take_windows(burn_report& report, const counts_by& from)
{
    for (const auto& [number, it] : from.windows)
    {
        const auto all = it.all();
        if (all.total() == 0)
        {
            continue;
        }
        report.windows.push_back(it);
        if (all.total() > report.crest.total())
        {
            report.crest.counts = all.counts;
        }
    }
}

void take_customers(burn_report& report, const counts_by& from)
{
    for (const auto& [name, it] : from.customers)
    {
        report.by_customer.push_back(it);
    }
    std::stable_sort(report.by_customer.begin(), report.by_customer.end(),
                     [&](const auto& a, const auto& b) {
                         return a.burn(report.objectives) > b.burn(report.objectives);
                     });
}

std::string row(const burn_line& it, const service_objectives& objectives)
{
    return fmt::format("{:24} {:>9} {:>9.2f} {:>9.2f} {:>9.2f}\n", it.name, it.total(),
                       100 * it.on_time_share(), 100 * it.served_share(),
                       it.burn(objectives));
}

} // namespace

std::uint64_t burn_line::total() const
{
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

double burn_line::on_time_share() const
{
    return share(counts[static_cast<std::size_t>(service_grade::on_time)], total());
}

double burn_line::served_share() const
{
    return 1 - (total() == 0
                    ? 0
                    : share(counts[static_cast<std::size_t>(service_grade::failed)],
                            total()));
}

double burn_line::burn(const service_objectives& it) const
{
    return std::max(rate(on_time_share(), it.on_time), rate(served_share(), it.served));
}

burn_line burn_window::all() const
{
    burn_line sum;
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
    report.crest.name = "busiest window";
    report.short_beside_long.name = "short beside most long";
    report.short_alone.name = "short beside fewest long";
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        report.by_class.push_back(
            {std::string(to_string(static_cast<length_class>(i))), {}});
    }
    counts_by counts;
    for (const auto* sample : in_order_of_time(samples))
    {
        count_sample(*sample, report, counts);
    }
    take_windows(report, counts);
    compare_short(report);
    take_customers(report, counts);
    return report;
}

std::string to_text(const burn_report& report)
{
    // The JSON form lists all customers.
    constexpr std::size_t most_customers = 10;
    auto out =
        fmt::format("objectives: {:g}% on time, {:g}% served; windows of {:g} s\n"
                    "{:24} {:>9} {:>9} {:>9} {:>9}\n",
                    100 * report.objectives.on_time, 100 * report.objectives.served,
                    report.window_s, "", "requests", "% on time", "% served", "burn");
    for (const auto& it : report.by_class)
    {
        out += row(it, report.objectives);
    }
    out += row(report.crest, report.objectives);
    out += row(report.short_beside_long, report.objectives);
    out += row(report.short_alone, report.objectives);
    out += "\ncustomers, highest burn rate first\n";
    const auto n = std::min(most_customers, report.by_customer.size());
    for (std::size_t i = 0; i < n; ++i)
    {
        out += row(report.by_customer[i], report.objectives);
    }
    return out;
}

} // namespace pistachiopost
