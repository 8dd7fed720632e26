#include "process/load_tracker.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

load_report_message report(std::uint64_t boot, std::uint64_t sequence,
                           std::uint32_t requests)
{
    load_report_message it;
    it.gateway = "other";
    it.boot = boot;
    it.sequence = sequence;
    it.loads.push_back({"i-1", {requests, 0, 0, 0, 0}});
    return it;
}

} // namespace

Test(load_tracker, local_and_reported_load_add_up)
{
    load_tracker it;
    it.add("i-1", {1, 1, 500, 100}, start);
    it.apply_report(report(1, 1, 3), start);
    cr_assert_eq(it.total_load("i-1", start).requests, 4U);
    cr_assert_eq(it.total_load("i-1", start).memory_tokens, 500U);
    cr_assert_eq(it.live_gateways(start), 2U);
}

Test(load_tracker, report_of_a_silent_gateway_expires)
{
    load_tracker it;
    it.apply_report(report(1, 1, 3), start);
    cr_assert_eq(it.total_load("i-1", start + seconds{2}).requests, 0U);
}

Test(load_tracker, older_message_does_not_replace_a_newer_one)
{
    load_tracker it;
    it.apply_report(report(1, 5, 3), start);
    it.apply_report(report(1, 4, 9), start);
    cr_assert_eq(it.total_load("i-1", start).requests, 3U);
}

Test(load_tracker, report_of_a_restarted_gateway_is_accepted_despite_its_lower_sequence)
{
    load_tracker it;
    it.apply_report(report(1, 500, 3), start);
    it.apply_report(report(2, 1, 1), start);
    cr_assert_eq(it.total_load("i-1", start).requests, 1U);
}

Test(load_tracker, prefill_decreases_with_time_but_not_below_half_until_confirmed)
{
    load_tracker it;
    const backend_load work{1, 0, 0, 200};
    it.add("i-1", work, start);
    cr_assert_float_eq(it.total_load("i-1", start + milliseconds{50}).prefill_ms, 150, 1);
    cr_assert_float_eq(it.total_load("i-1", start + seconds{5}).prefill_ms, 100, 1);
    it.prefill_done("i-1", work);
    cr_assert_float_eq(it.total_load("i-1", start + seconds{5}).prefill_ms, 0, 1);
}

Test(load_tracker, removed_work_leaves_no_load)
{
    load_tracker it;
    const backend_load work{1, 1, 700, 200};
    it.add("i-1", work, start);
    it.prefill_done("i-1", work);
    it.remove("i-1", work, start + seconds{1});
    cr_assert(it.local_loads(start + seconds{1}).empty());
}
