#include "process/burn_document.hpp"
#include "process/burn_report.hpp"
#include "process/gateway_metrics.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cmath>

using namespace pistachiopost;

namespace {

/// Counters of one gateway and its concatenated responses to GET /metrics.
struct burn_fixture
{
    void serve(length_class which, std::string_view customer, service_grade grade, int n)
    {
        for (int i = 0; i < n; ++i)
        {
            metrics.record_grade(which, customer, grade);
        }
    }

    void scrape(double time_s, std::string_view vm = "front-1")
    {
        text += metrics.text({vm, time_s, 7, 0, 0});
    }

    [[nodiscard]] burn_report report() const
    {
        return make_burn_report(parse_metrics(text), {0.9, 0.99}, 60);
    }

    gateway_metrics metrics;
    std::string text;
};

constexpr auto medium = length_class::medium;
constexpr auto huge = length_class::huge;

bool near(double a, double b)
{
    return std::abs(a - b) < 1e-9;
}

} // namespace

Test(burn_report, late_tenth_with_an_objective_of_nine_tenths_has_burn_rate_one)
{
    burn_fixture it;
    it.serve(medium, "ann", service_grade::on_time, 90);
    it.serve(medium, "ann", service_grade::late, 10);
    it.scrape(0);
    const auto summary = it.report().by_class[static_cast<std::size_t>(medium)];
    cr_assert_eq(summary.total(), 100U);
    cr_assert(near(summary.burn_rate({0.9, 0.99}), 1));
    cr_assert(near(summary.served_share(), 1));
}

Test(burn_report, windows_contain_only_the_increase_of_their_counters)
{
    burn_fixture it;
    it.serve(medium, "ann", service_grade::on_time, 10);
    it.scrape(0);
    it.serve(medium, "ann", service_grade::failed, 30);
    it.scrape(60);
    it.scrape(120);
    const auto report = it.report();
    cr_assert_eq(report.windows.size(), 2U);
    cr_assert_eq(report.windows[1].all_classes().total(), 30U);
    cr_assert_eq(report.busiest_window.total(), 30U);
    cr_assert(near(report.busiest_window.served_share(), 0));
}

Test(burn_report, counters_reset_by_a_restart_are_counted_in_full)
{
    burn_fixture before;
    before.serve(medium, "ann", service_grade::on_time, 10);
    before.scrape(0);
    burn_fixture after;
    after.serve(medium, "ann", service_grade::on_time, 4);
    after.scrape(60);
    before.text += after.text;
    cr_assert_eq(before.report().by_class[static_cast<std::size_t>(medium)].total(), 14U);
}

Test(burn_report, short_prompts_are_split_by_the_load_of_long_prompts)
{
    burn_fixture it;
    it.serve(medium, "ann", service_grade::on_time, 10);
    it.scrape(0);
    it.serve(medium, "ann", service_grade::late, 10);
    it.serve(huge, "bob", service_grade::on_time, 5);
    it.scrape(60);
    const auto report = it.report();
    cr_assert(near(report.short_alone.on_time_share(), 1));
    cr_assert(near(report.short_beside_long.on_time_share(), 0));
}

Test(burn_report, customer_with_highest_burn_rate_is_first_in_every_format)
{
    burn_fixture it;
    it.serve(medium, "ann", service_grade::on_time, 10);
    it.serve(medium, "bob<i>", service_grade::failed, 10);
    it.scrape(0);
    const auto report = it.report();
    cr_assert_eq(report.by_customer.front().name, "bob<i>");
    cr_assert(to_text(report).find("bob<i>") != std::string::npos);
    cr_assert(to_json(report).find("\"failed\": 10") != std::string::npos);
    const auto html = to_html(report);
    cr_assert(html.find("bob&lt;i&gt;") != std::string::npos);
    cr_assert(html.find("<svg") != std::string::npos);
    cr_assert(html.find("http://") == std::string::npos,
              "the page refers to an external resource");
}

Test(burn_report, customers_above_the_limit_share_one_name)
{
    burn_fixture it;
    for (int i = 0; i < 300; ++i)
    {
        it.serve(medium, fmt::format("c{}", i), service_grade::on_time, 1);
    }
    it.scrape(0);
    const auto report = it.report();
    cr_assert_eq(report.by_customer.size(), 201U);
    cr_assert_eq(report.by_class[static_cast<std::size_t>(medium)].total(), 300U);
}

Test(burn_report, malformed_metrics_are_rejected_with_the_line_number)
{
    for (const auto* text : {"hello", "a 1\n", "pistachiopost_gateway_info{vm=\"a} 1\n",
                             "pistachiopost_gateway_info{vm=\"a\"} 1\nx y\n"})
    {
        try
        {
            parse_metrics(text);
            cr_assert_fail("malformed metrics were accepted: %s", text);
        }
        catch (const metrics_error& it)
        {
            cr_assert(std::string(it.what()).find("line ") == 0);
        }
    }
}
