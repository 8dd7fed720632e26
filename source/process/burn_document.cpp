#include "process/burn_document.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiopost {

namespace {

// Plot size, in pixels.
constexpr double plot_width = 760;
constexpr double plot_height = 200;
// One colour for each length class and each service grade.
constexpr std::array<std::string_view, length_class_count> class_colours{
    "#1b7837", "#2166ac", "#b35806", "#762a83"};
constexpr std::array<std::string_view, service_grade_count> grade_colours{
    "#7fbf7b", "#fdb863", "#d6604d"};

constexpr std::string_view html_head =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
    "<title>Service-level burn</title>\n<style>\n"
    "body{font:14px/1.5 sans-serif;margin:2em auto;max-width:820px;color:#222}\n"
    "table{border-collapse:collapse}td,th{padding:2px 12px;text-align:right}\n"
    "td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#f4f4f4}"
    "\n.bad{color:#b2182b;font-weight:bold}svg{background:#fafafa}\n"
    "</style></head><body>\n<h1>Service-level burn</h1>\n";

nlohmann::json to_json_summary(const burn_summary& it,
                               const service_objectives& objectives)
{
    return {{"name", it.name},         {"requests", it.total()},
            {"on_time", it.counts[0]}, {"late", it.counts[1]},
            {"failed", it.counts[2]},  {"burn_rate", it.burn_rate(objectives)}};
}

nlohmann::json to_json_summaries(std::span<const burn_summary> summaries,
                                 const service_objectives& objectives)
{
    auto list = nlohmann::json::array();
    for (const auto& it : summaries)
    {
        list.push_back(to_json_summary(it, objectives));
    }
    return list;
}

std::string escape_html(std::string_view text)
{
    std::string out;
    for (const char c : text)
    {
        switch (c)
        {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string html_table(std::span<const burn_summary> summaries,
                       const service_objectives& objectives)
{
    std::string out = "<table><tr><th></th><th>requests</th><th>on time</th>"
                      "<th>served</th><th>burn rate</th></tr>\n";
    for (const auto& it : summaries)
    {
        const auto burn = it.burn_rate(objectives);
        out +=
            fmt::format("<tr><td>{}</td><td>{}</td><td>{:.2f}%</td><td>{:.2f}%</td>"
                        "<td{}>{:.2f}</td></tr>\n",
                        escape_html(it.name), it.total(), 100 * it.on_time_share(),
                        100 * it.served_share(), burn > 1 ? " class=\"bad\"" : "", burn);
    }
    return out + "</table>\n";
}

/// Returns an SVG line plot of the burn rate of each class over time.
std::string burn_plot(const burn_report& report)
{
    double max_rate = 1;
    for (const auto& window : report.windows)
    {
        for (const auto& it : window.classes)
        {
            max_rate = std::max(max_rate, it.burn_rate(report.objectives));
        }
    }
    const double start_s = report.windows.front().from_s;
    const double span_s =
        std::max(report.windows.back().from_s - start_s, report.window_s);
    auto out =
        fmt::format("<svg width=\"{0}\" height=\"{1}\" viewBox=\"-30 -12 {2} {3}\">"
                    "\n",
                    plot_width + 40, plot_height + 32, plot_width + 40, plot_height + 32);
    const double unit_rate_y = plot_height * (1 - 1 / max_rate);
    out += fmt::format("<line x1=\"0\" x2=\"{}\" y1=\"{:.1f}\" y2=\"{:.1f}\" "
                       "stroke=\"#b2182b\" stroke-dasharray=\"4\"/>\n"
                       "<text x=\"-28\" y=\"4\">{:.0f}</text>"
                       "<text x=\"-28\" y=\"{:.1f}\">1</text>"
                       "<text x=\"0\" y=\"{}\">0 s</text>"
                       "<text x=\"{}\" y=\"{}\" text-anchor=\"end\">{:.0f} s</text>\n",
                       plot_width, unit_rate_y, unit_rate_y, max_rate, unit_rate_y,
                       plot_height + 16, plot_width, plot_height + 16, span_s);
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        std::string points;
        for (const auto& window : report.windows)
        {
            if (window.classes[i].total() > 0)
            {
                const double y =
                    window.classes[i].burn_rate(report.objectives) / max_rate;
                points += fmt::format("{:.1f},{:.1f} ",
                                      (window.from_s - start_s) / span_s * plot_width,
                                      plot_height * (1 - y));
            }
        }
        out += fmt::format("<polyline fill=\"none\" stroke=\"{}\" points=\"{}\"/>\n",
                           class_colours[i], points);
    }
    out += "</svg>\n<p>";
    for (std::size_t i = 0; i < length_class_count; ++i)
    {
        out += fmt::format("<span style=\"color:{}\">&#9632; {}</span> ",
                           class_colours[i], to_string(static_cast<length_class>(i)));
    }
    return out + "</p>\n";
}

/// Returns an SVG bar chart with one bar per row, divided by grade.
std::string grade_bars(std::span<const burn_summary> summaries)
{
    constexpr double row_height = 22;
    constexpr double label_width = 140;
    auto out = fmt::format("<svg width=\"{}\" height=\"{}\">\n", plot_width + 40,
                           row_height * static_cast<double>(summaries.size()) + 4);
    double y = 2;
    for (const auto& it : summaries)
    {
        out += fmt::format("<text x=\"2\" y=\"{}\">{}</text>\n", y + 15,
                           escape_html(it.name));
        double x = label_width;
        for (std::size_t i = 0; i < service_grade_count && it.total() > 0; ++i)
        {
            const double width = (plot_width - label_width) *
                                 static_cast<double>(it.counts[i]) /
                                 static_cast<double>(it.total());
            out += fmt::format("<rect x=\"{:.1f}\" y=\"{}\" width=\"{:.1f}\" "
                               "height=\"18\" fill=\"{}\"/>\n",
                               x, y, width, grade_colours[i]);
            x += width;
        }
        y += row_height;
    }
    out += "</svg>\n<p>";
    for (std::size_t i = 0; i < service_grade_count; ++i)
    {
        out += fmt::format("<span style=\"color:{}\">&#9632; {}</span> ",
                           grade_colours[i], to_string(static_cast<service_grade>(i)));
    }
    return out + "</p>\n";
}

} // namespace

std::string to_json(const burn_report& report)
{
    const auto& objectives = report.objectives;
    nlohmann::json windows = nlohmann::json::array();
    for (const auto& it : report.windows)
    {
        auto all = it.all_classes();
        all.name = "all";
        auto summary = to_json_summary(all, objectives);
        summary["from_s"] = it.from_s;
        windows.push_back(std::move(summary));
    }
    const nlohmann::json document{
        {"objectives", {{"on_time", objectives.on_time}, {"served", objectives.served}}},
        {"window_s", report.window_s},
        {"by_class", to_json_summaries(report.by_class, objectives)},
        {"by_customer", to_json_summaries(report.by_customer, objectives)},
        {"busiest_window", to_json_summary(report.busiest_window, objectives)},
        {"short_beside_long", to_json_summary(report.short_beside_long, objectives)},
        {"short_alone", to_json_summary(report.short_alone, objectives)},
        {"windows", windows}};
    return document.dump(2) + "\n";
}

std::string to_html(const burn_report& report)
{
    const auto& objectives = report.objectives;
    auto out = std::string(html_head);
    out +=
        fmt::format("<p>Objectives: {:g}% on time, {:g}% served. A burn rate of 1 uses "
                    "up the error budget exactly within its period.</p>\n",
                    100 * objectives.on_time, 100 * objectives.served);
    if (report.windows.empty())
    {
        return out + "<p>No requests in these metrics.</p>\n</body></html>\n";
    }
    out += "<h2>By prompt length</h2>\n" + html_table(report.by_class, objectives);
    out += grade_bars(report.by_class);
    out +=
        fmt::format("<h2>Burn rate over time, windows of {:g} s</h2>\n", report.window_s);
    out += burn_plot(report);
    const std::array window_summaries{report.busiest_window, report.short_beside_long,
                                      report.short_alone};
    out += "<h2>Busiest window, and short prompts with many or few long prompts</h2>\n" +
           html_table(window_summaries, objectives);
    out += "<h2>By customer</h2>\n" + html_table(report.by_customer, objectives);
    out += grade_bars(report.by_customer);
    return out + "</body></html>\n";
}

} // namespace pistachiopost
