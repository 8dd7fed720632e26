#include "process/crash_tracker.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

} // namespace

Test(crash_tracker, request_is_blocked_after_crashes_of_three_backend_servers)
{
    crash_tracker it;
    it.add({7, "i-1"}, start);
    it.add({7, "i-2"}, start);
    cr_assert_not(it.is_blocked(7, start));
    it.add({7, "i-3"}, start);
    cr_assert(it.is_blocked(7, start));
    cr_assert_not(it.is_blocked(8, start));
}

Test(crash_tracker, same_report_from_several_gateways_counts_once)
{
    crash_tracker it;
    for (int i = 0; i < 5; ++i)
    {
        it.add({7, "i-1"}, start);
    }
    cr_assert_not(it.is_blocked(7, start));
}

Test(crash_tracker, completed_request_is_cleared)
{
    crash_tracker it;
    it.add({7, "i-1"}, start);
    it.add({7, "i-2"}, start);
    it.clear(7);
    it.add({7, "i-3"}, start);
    cr_assert_not(it.is_blocked(7, start));
}

Test(crash_tracker, reports_expire_and_are_sent_to_peers_while_recent)
{
    crash_tracker it;
    it.add({7, "i-1"}, start);
    it.add({7, "i-2"}, start);
    it.add({7, "i-3"}, start);
    cr_assert_eq(it.recent(start).size(), 3U);
    cr_assert(it.recent(start + seconds{10}).empty());
    cr_assert_not(it.is_blocked(7, start + std::chrono::minutes{2}));
}

Test(crash_tracker, fingerprint_depends_on_path_customer_and_body)
{
    const auto one = request_fingerprint("/a", "ann", "x");
    cr_assert_eq(one, request_fingerprint("/a", "ann", "x"));
    cr_assert_neq(one, request_fingerprint("/b", "ann", "x"));
    cr_assert_neq(one, request_fingerprint("/a", "bob", "x"));
    cr_assert_neq(one, request_fingerprint("/a", "ann", "y"));
}
