#include "process/placement/load_tracker.hpp"

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

Test(load_tracker, digest_counts_as_the_load_of_its_zone_whoever_sends_it)
{
    load_tracker it;
    auto digest = report(1, 7, 3);
    digest.is_digest = true;
    digest.zone = "b";
    it.apply_report(digest, start);
    cr_assert(it.has_digest("b", start));
    cr_assert_not(it.has_digest("c", start));
    cr_assert_not(it.has_digest("b", start + seconds{1}));
    digest.gateway = "successor";
    digest.sequence = 1;
    digest.loads[0].load.requests = 2;
    it.apply_report(digest, start);
    cr_assert_eq(it.total_load("i-1", start).requests, 2U);
    cr_assert_eq(it.live_gateways(start), 1U);
}

Test(load_tracker, backend_server_missing_from_a_later_report_carries_no_load)
{
    load_tracker it;
    it.apply_report(report(1, 1, 3), start);
    auto later = report(1, 2, 0);
    later.loads.clear();
    it.apply_report(later, start);
    cr_assert_eq(it.total_load("i-1", start).requests, 0U);
}

Test(load_tracker, backend_server_listed_twice_in_a_report_is_replaced_as_a_whole)
{
    load_tracker it;
    auto twice = report(1, 1, 3);
    twice.loads.push_back(twice.loads[0]);
    it.apply_report(twice, start);
    it.apply_report(report(1, 2, 1), start);
    cr_assert_eq(it.total_load("i-1", start).requests, 1U);
}

Test(load_tracker, work_that_a_digest_repeats_counts_once)
{
    load_tracker it;
    it.add("i-1", {1, 0, 0, 0}, start);
    it.apply_report(report(1, 1, 2), start);
    auto digest = report(1, 1, 4);
    digest.is_digest = true;
    it.apply_report(digest, start);
    cr_assert_eq(it.total_load("i-1", start).requests, 4U);
    it.add("i-1", {5, 0, 0, 0}, start);
    cr_assert_eq(it.total_load("i-1", start).requests, 8U);
}
