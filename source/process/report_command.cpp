#include "process/report_command.hpp"

#include "process/burn_document.hpp"
#include "process/burn_report.hpp"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace pistachiopost {

namespace {

bool is_proper_fraction(double it)
{
    return it > 0 && it < 1;
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        throw report_error(
            fmt::format("{} cannot be read; check the name and the permissions", path));
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<metrics_sample> read_samples(std::span<const std::string> paths)
{
    std::vector<metrics_sample> result;
    for (const auto& path : paths)
    {
        try
        {
            auto samples = parse_metrics(read_file(path));
            std::move(samples.begin(), samples.end(), std::back_inserter(result));
        }
        catch (const metrics_error& it)
        {
            throw metrics_error(fmt::format("{}: {}", path, it.what()));
        }
    }
    return result;
}

} // namespace

int run_report(std::span<const std::string> words, const report_options& options)
{
    if (words.size() < 3 || words[1] != "burn")
    {
        throw report_error("usage: pistachiopost report burn FILE...");
    }
    if (!is_proper_fraction(options.on_time) || !is_proper_fraction(options.served))
    {
        throw report_error(
            "--on_time and --served must be above 0 and below 1, such as 0.95");
    }
    if (!(options.window_s > 0))
    {
        throw report_error("--window must be a number of seconds above 0");
    }
    const auto report =
        make_burn_report(read_samples(words.subspan(2)),
                         {options.on_time, options.served}, options.window_s);
    if (options.output == "json")
    {
        fmt::print("{}", to_json(report));
    }
    else if (options.output == "html")
    {
        fmt::print("{}", to_html(report));
    }
    else
    {
        fmt::print("{}", to_text(report));
    }
    return 0;
}

} // namespace pistachiopost
