#include "process/crash_tally.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

} // namespace

Test(crash_tally, third_backend_server_that_breaks_off_ends_the_request)
{
    crash_tally it;
    it.add({7, "i-1"}, start);
    it.add({7, "i-2"}, start);
    cr_assert_not(it.refuses(7, start));
    it.add({7, "i-3"}, start);
    cr_assert(it.refuses(7, start));
    cr_assert_not(it.refuses(8, start));
}

Test(crash_tally, same_sighting_from_several_gateways_counts_once)
{
    crash_tally it;
    for (int i = 0; i < 5; ++i)
    {
        it.add({7, "i-1"}, start);
    }
    cr_assert_not(it.refuses(7, start));
}

Test(crash_tally, request_that_ran_to_its_end_is_cleared)
{
    crash_tally it;
    it.add({7, "i-1"}, start);
    it.add({7, "i-2"}, start);
    it.clear(7);
    it.add({7, "i-3"}, start);
    cr_assert_not(it.refuses(7, start));
}

Test(crash_tally, sightings_lapse_and_are_told_to_peers_while_new)
{
    crash_tally it;
    it.add({7, "i-1"}, start);
    it.add({7, "i-2"}, start);
    it.add({7, "i-3"}, start);
    cr_assert_eq(it.recent(start).size(), 3U);
    cr_assert(it.recent(start + seconds{10}).empty());
    cr_assert_not(it.refuses(7, start + std::chrono::minutes{2}));
}

Test(crash_tally, fingerprint_tells_path_customer_and_body_apart)
{
    const auto one = fingerprint_of("/a", "ann", "x");
    cr_assert_eq(one, fingerprint_of("/a", "ann", "x"));
    cr_assert_neq(one, fingerprint_of("/b", "ann", "x"));
    cr_assert_neq(one, fingerprint_of("/a", "bob", "x"));
    cr_assert_neq(one, fingerprint_of("/a", "ann", "y"));
}
