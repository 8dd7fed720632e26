#include "process/backend_roster.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

const time_point start{std::chrono::hours{1}};

/// A roster with two backend servers of one service.
struct roster_fixture
{
    roster_fixture()
    {
        roster.put(record("i-1"), start);
        roster.put(record("i-2"), start);
    }

    static backend_record record(const std::string& id, bool leaving = false)
    {
        return {id, "model", {"10.0.0.1", 80}, "z", 16, leaving, 1};
    }

    std::size_t usable(time_point now) { return roster.usable("model", now).size(); }

    backend_roster roster;
};

} // namespace

Test(backend_roster, leaving_backend_server_gets_no_work)
{
    roster_fixture it;
    it.roster.put(roster_fixture::record("i-1", true), start);
    cr_assert_eq(it.usable(start), 1U);
}

Test(backend_roster, lost_entry_is_gone_at_once_while_its_source_answers)
{
    roster_fixture it;
    it.roster.lost("i-1", start);
    cr_assert_eq(it.usable(start), 1U);
}

Test(backend_roster, entry_lost_in_an_outage_has_two_seconds_to_come_back)
{
    roster_fixture it;
    it.roster.source_out(start);
    it.roster.lost("i-1", start + seconds{1});
    it.roster.sweep(start + seconds{60});
    cr_assert_eq(it.usable(start), 2U);
    it.roster.source_back(start + seconds{60});
    it.roster.sweep(start + seconds{61});
    cr_assert_eq(it.usable(start), 2U);
    it.roster.sweep(start + seconds{62});
    cr_assert_eq(it.usable(start), 1U);
}

Test(backend_roster, entry_that_comes_back_in_time_stays)
{
    roster_fixture it;
    it.roster.source_out(start);
    it.roster.source_back(start + seconds{5});
    it.roster.replace({roster_fixture::record("i-2")}, start + seconds{5});
    it.roster.put(roster_fixture::record("i-1"), start + seconds{6});
    it.roster.sweep(start + seconds{9});
    cr_assert_eq(it.usable(start + seconds{9}), 2U);
}

Test(backend_roster, failures_in_a_row_are_avoided_longer_each_time)
{
    roster_fixture it;
    it.roster.failed("i-1", start);
    cr_assert_eq(it.usable(start), 1U);
    cr_assert_eq(it.usable(start + milliseconds{100}), 2U);
    it.roster.failed("i-1", start + milliseconds{100});
    cr_assert_eq(it.usable(start + milliseconds{250}), 1U);
    cr_assert_eq(it.usable(start + milliseconds{300}), 2U);
}

Test(backend_roster, all_avoided_are_offered_rather_than_none)
{
    roster_fixture it;
    it.roster.failed("i-1", start);
    it.roster.failed("i-2", start);
    cr_assert_eq(it.usable(start), 2U);
}

Test(backend_roster, new_incarnation_starts_without_failures)
{
    roster_fixture it;
    it.roster.failed("i-1", start);
    auto reborn = roster_fixture::record("i-1");
    reborn.start_time_ms = 2;
    it.roster.put(reborn, start);
    cr_assert_eq(it.usable(start), 2U);
}

Test(backend_roster, address_taken_over_by_another_server_is_dropped)
{
    roster_fixture it;
    it.roster.moved("i-1");
    cr_assert_eq(it.usable(start), 1U);
}

Test(backend_roster, stalled_backend_server_is_avoided_at_once_for_long)
{
    roster_fixture it;
    it.roster.stalled("i-1", start);
    cr_assert_eq(it.usable(start + milliseconds{700}), 1U);
    cr_assert_eq(it.usable(start + milliseconds{800}), 2U);
}

Test(backend_roster, failure_leaves_doubt_until_the_next_answer)
{
    roster_fixture it;
    it.roster.failed("i-1", start);
    const auto doubted = [&] {
        std::size_t n = 0;
        for (const auto& one : it.roster.usable("model", start + seconds{1}))
        {
            n += one.trusted ? 0 : 1;
        }
        return n;
    };
    cr_assert_eq(doubted(), 1U);
    it.roster.answered("i-1");
    cr_assert_eq(doubted(), 0U);
}

Test(backend_roster, single_answered_failure_is_not_held_against_the_backend_server)
{
    roster_fixture it;
    it.roster.answered_failure("i-1", start);
    it.roster.answered_failure("i-1", start);
    cr_assert_eq(it.usable(start), 2U);
    it.roster.answered_failure("i-1", start);
    cr_assert_eq(it.usable(start), 1U);
}

Test(backend_roster, backend_server_is_found_by_its_address)
{
    roster_fixture it;
    cr_assert_not_null(it.roster.at_address("10.0.0.1:80"));
    cr_assert_null(it.roster.at_address("10.0.0.1:81"));
}
