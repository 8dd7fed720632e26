#include "process/metrics.hpp"

#include <fmt/format.h>

namespace pistachiopost {

namespace {

namespace acc = boost::accumulators;

std::string class_label(length_class prompt_class)
{
    return fmt::format("class=\"{}\"", to_string(prompt_class));
}

} // namespace

void add_histogram(std::string& out, std::string_view name, length_class prompt_class,
                   const latency_histogram& histogram)
{
    const auto counts = histogram.cumulative_counts();
    for (std::size_t i = 0; i < latency_histogram::bounds.size(); ++i)
    {
        out += fmt::format(
            "{}_bucket{{{},le=\"{}\"}} {}\n", name, class_label(prompt_class),
            static_cast<double>(latency_histogram::bounds[i].count()) / 1'000, counts[i]);
    }
    out += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name,
                       class_label(prompt_class), counts.back());
    out += fmt::format("{}_sum{{{}}} {}\n", name, class_label(prompt_class),
                       histogram.sum_seconds());
    out += fmt::format("{}_count{{{}}} {}\n", name, class_label(prompt_class),
                       counts.back());
}

void latency_histogram::add(steady::duration latency)
{
    const std::chrono::duration<double> value = latency;
    statistics_(value.count());
    std::size_t i = 0;
    while (i < bounds.size() && latency > bounds[i])
    {
        ++i;
    }
    ++buckets_[i];
}

std::array<std::uint64_t, latency_histogram::bounds.size() + 1>
latency_histogram::cumulative_counts() const
{
    auto cumulative = buckets_;
    for (std::size_t i = 1; i < cumulative.size(); ++i)
    {
        cumulative[i] += cumulative[i - 1];
    }
    return cumulative;
}

double latency_histogram::sum_seconds() const
{
    return acc::sum(statistics_);
}

void entry_metrics::answered(length_class prompt_class, steady::duration first_token,
                             steady::duration total)
{
    const std::lock_guard lock(mutex_);
    first_token_[static_cast<std::size_t>(prompt_class)].add(first_token);
    total_[static_cast<std::size_t>(prompt_class)].add(total);
}

void entry_metrics::refused(refusal_reason reason)
{
    const std::lock_guard lock(mutex_);
    ++refusals_[reason];
}

void entry_metrics::retried(std::uint64_t attempts)
{
    const std::lock_guard lock(mutex_);
    retries_ += attempts;
}

std::string entry_metrics::text(std::uint64_t configuration_version) const
{
    const std::lock_guard lock(mutex_);
    auto out = fmt::format("# TYPE pistachiopost_configuration_version gauge\n"
                           "pistachiopost_configuration_version {}\n",
                           configuration_version);
    out += "# TYPE pistachiopost_first_token_seconds histogram\n";
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        add_histogram(out, "pistachiopost_first_token_seconds",
                      static_cast<length_class>(i), first_token_[i]);
    }
    out += "# TYPE pistachiopost_request_seconds histogram\n";
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        add_histogram(out, "pistachiopost_request_seconds", static_cast<length_class>(i),
                      total_[i]);
    }
    out += "# TYPE pistachiopost_refusals_total counter\n";
    for (const auto& [reason, count] : refusals_)
    {
        out += fmt::format("pistachiopost_refusals_total{{reason=\"{}\"}} {}\n",
                           to_string(reason), count);
    }
    out += fmt::format("# TYPE pistachiopost_retries_total counter\n"
                       "pistachiopost_retries_total {}\n",
                       retries_);
    return out;
}

} // namespace pistachiopost
