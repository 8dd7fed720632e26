#include "process/membership/cold_allowance.hpp"
#include "process/membership/row_order.hpp"

#include <criterion/criterion.h>

#include <cstdint>
#include <vector>

using namespace pistachiopost;

namespace {

constexpr double rate = 28;
constexpr cold_bound typical_bound{1.5, 5};

/// The allowance of a gateway that is the first in the table.
struct allowance_fixture
{
    allowance_fixture()
    {
        allowance.set_bound(typical_bound);
        allowance.set_predecessors({});
    }

    /// Sends until nothing more is allowed; returns the number of requests.
    std::size_t send_all(time_point now)
    {
        std::size_t n = 0;
        for (; allowance.may_send("i-1", rate, now); ++n)
        {
            allowance.spend("i-1", rate, now);
        }
        return n;
    }

    time_point start{std::chrono::hours{1}};
    cold_allowance allowance{"me", start - cold_slot_interval};
};

} // namespace

// Guards against shares that only sum up within the bound for its usual value.
Test(cold_allowance, slots_of_one_server_are_never_owned_by_more_gateways_than_there_are)
{
    for (const std::uint32_t slots : {0U, 1U, 5U, 6U, 11U, 47U, 200U})
    {
        for (const std::size_t count :
             {std::size_t{1}, std::size_t{30}, std::size_t{320}})
        {
            std::vector<std::uint64_t> preceding;
            std::size_t owned = 0;
            for (std::size_t i = 0; i < count; ++i)
            {
                const auto self = 0x9e3779b97f4a7c15U * (i + 1);
                owned += owned_cold_slots(self, preceding, "i-1", slots);
                preceding.push_back(self);
            }
            cr_assert_leq(owned, std::size_t{slots});
        }
    }
}

// Guards against a large bound of which a usual fleet uses a small part.
Test(cold_allowance, large_bound_gives_each_gateway_of_a_usual_fleet_more_slots)
{
    for (const std::uint32_t slots : {94U, 305U, 3'000U})
    {
        std::vector<std::uint64_t> preceding;
        std::size_t owned = 0;
        for (std::size_t i = 0; i < 27; ++i)
        {
            const auto self = 0x9e3779b97f4a7c15U * (i + 1);
            owned += owned_cold_slots(self, preceding, "i-1", slots);
            preceding.push_back(self);
        }
        cr_assert_leq(owned, std::size_t{slots});
        cr_assert_geq(2 * owned, std::size_t{slots});
    }
}

// Guards against a gateway that assumes to be alone because it could not read the table.
Test(cold_allowance, gateway_that_has_not_read_the_table_has_no_allowance)
{
    allowance_fixture it;
    cold_allowance other("me", it.start - seconds{60});
    other.set_bound(typical_bound);
    cr_assert_not(other.may_send("i-1", rate, it.start));
    cr_assert_not(other.next_allowed("i-1", rate, it.start).has_value());
}

// Guards against a process that adds its own requests to those that its predecessor sent
// in the second before.
Test(cold_allowance, new_process_has_no_allowance_in_its_first_interval)
{
    allowance_fixture it;
    cold_allowance restarted("me", it.start);
    restarted.set_bound(typical_bound);
    restarted.set_predecessors({});
    const auto end = it.start + cold_slot_interval;
    cr_assert_not(restarted.may_send("i-1", rate, end - milliseconds{1}));
    cr_assert_eq(*restarted.next_allowed("i-1", rate, it.start), end);
    cr_assert(restarted.may_send("i-1", rate, end));
}

// Guards against an allowance that accumulates while a process is frozen.
Test(cold_allowance, allowance_does_not_accumulate_over_a_pause)
{
    allowance_fixture it;
    const auto at_once = it.send_all(it.start);
    cr_assert_geq(at_once, 1U);
    cr_assert_eq(it.send_all(it.start + seconds{30}), at_once);
    cr_assert_eq(*it.allowance.next_allowed("i-1", rate, it.start + seconds{30}),
                 it.start + seconds{30} + cold_slot_interval);
}

// Guards against an allowance of one server that is used up by requests to another.
Test(cold_allowance, backend_servers_have_separate_allowances)
{
    allowance_fixture it;
    it.send_all(it.start);
    cr_assert(it.allowance.may_send("i-2", rate, it.start));
}

// Guards against a settings change that leaves the former number of slots in force.
Test(cold_allowance, changed_bound_takes_effect_on_known_servers)
{
    allowance_fixture it;
    cr_assert(it.allowance.may_send("i-1", rate, it.start));
    it.allowance.set_bound({0, 0});
    cr_assert_not(it.allowance.may_send("i-1", rate, it.start));
}

// Guards against two owners of one slot while the order of rows is written anew.
Test(cold_allowance, nothing_is_allowed_while_the_order_of_rows_is_unknown)
{
    allowance_fixture it;
    it.allowance.forget_predecessors();
    cr_assert_eq(it.send_all(it.start), 0U);
    it.allowance.set_predecessors({});
    cr_assert_gt(it.send_all(it.start), 0U);
}

// Guards against a gateway that counts rows written after its own, or none if versions
// are missing: both would give several gateways the same slots.
Test(find_preceding_rows, rows_before_the_own_one_are_found)
{
    const std::vector<stored_row> rows{{"a", "", {0, 5}, false},
                                       {"b", "", {0, 3}, false},
                                       {"c", "", {0, 9}, false},
                                       {"d", "", {0, 3}, true}};
    cr_assert_eq(find_preceding_rows(rows, "a")->size(), 1U);
    cr_assert_eq(find_preceding_rows(rows, "c")->size(), 2U);
    cr_assert_not(find_preceding_rows(rows, "d").has_value());
    const std::vector<stored_row> unversioned{{"a", "", {0, 0}, false},
                                              {"b", "", {0, 0}, false}};
    cr_assert_eq(find_preceding_rows(unversioned, "a")->size(), 1U);
    cr_assert_eq(find_preceding_rows(unversioned, "b")->size(), 1U);
}
