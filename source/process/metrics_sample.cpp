#include "process/metrics_sample.hpp"

#include <fmt/format.h>

#include <charconv>

namespace pistachiopost {

namespace {

constexpr std::string_view info_metric = "pistachiopost_gateway_info";
constexpr std::string_view time_metric = "pistachiopost_time_seconds";

[[noreturn]] void throw_parse_error(std::size_t line, std::string_view message)
{
    throw metrics_error(fmt::format(
        "line {}: {}; expected the output of GET /metrics of a gateway", line, message));
}

/// Parses NAME="VALUE",... up to and including the closing brace and removes it from
/// `rest`.
void parse_labels(std::string_view& rest, std::size_t line, metric_value& result)
{
    while (!rest.empty() && rest.front() != '}')
    {
        const auto equals = rest.find("=\"");
        const auto end =
            equals == std::string_view::npos ? equals : rest.find('"', equals + 2);
        if (end == std::string_view::npos)
        {
            throw_parse_error(line, "malformed label, expected NAME=\"VALUE\"");
        }
        result.labels.emplace(rest.substr(0, equals),
                              rest.substr(equals + 2, end - equals - 2));
        rest.remove_prefix(end + 1);
        if (!rest.empty() && rest.front() == ',')
        {
            rest.remove_prefix(1);
        }
    }
    if (rest.empty())
    {
        throw_parse_error(line, "unterminated label set");
    }
    rest.remove_prefix(1);
}

metric_value parse_value(std::string_view text, std::size_t line)
{
    metric_value it;
    const auto end = text.find_first_of("{ ");
    if (end == std::string_view::npos || end == 0)
    {
        throw_parse_error(line, "missing metric name");
    }
    it.name = text.substr(0, end);
    auto rest = text.substr(end);
    if (rest.front() == '{')
    {
        rest.remove_prefix(1);
        parse_labels(rest, line, it);
    }
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    const auto [stop, ec] =
        std::from_chars(rest.data(), rest.data() + rest.size(), it.value);
    if (ec != std::errc() || stop != rest.data() + rest.size())
    {
        throw_parse_error(line, "the value is not a number");
    }
    return it;
}

} // namespace

std::string_view metric_value::label(std::string_view key) const
{
    const auto it = labels.find(key);
    return it == labels.end() ? std::string_view() : std::string_view(it->second);
}

std::vector<metrics_sample> parse_metrics(std::string_view text)
{
    std::vector<metrics_sample> samples;
    std::size_t line_number = 0;
    while (!text.empty())
    {
        ++line_number;
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty() || line.front() == '#')
        {
            continue;
        }
        auto it = parse_value(line, line_number);
        if (it.name == info_metric)
        {
            samples.emplace_back();
            samples.back().vm = it.label("vm");
            continue;
        }
        if (samples.empty())
        {
            throw_parse_error(line_number, fmt::format("no preceding {}", info_metric));
        }
        if (it.name == time_metric)
        {
            samples.back().time_s = it.value;
            continue;
        }
        samples.back().values.push_back(std::move(it));
    }
    return samples;
}

} // namespace pistachiopost
