/// Regions that a route and a customer allow together.
#include "version/route_table.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

using names = std::vector<std::string>;

std::optional<names> regions(const names& by_route, const names& by_customer)
{
    route one;
    one.allowed_regions = by_route;
    gateway_customer customer;
    customer.allowed_regions = by_customer;
    return allowed_regions(one, &customer);
}

} // namespace

Test(allowed_regions, empty_lists_allow_all)
{
    cr_assert_not(regions({}, {}).has_value());
    cr_assert_not(allowed_regions(route(), nullptr).has_value());
}

Test(allowed_regions, list_of_one_side_is_in_force)
{
    cr_assert(regions({"a", "b"}, {}) == names({"a", "b"}));
    cr_assert(regions({}, {"c"}) == names{"c"});
    route one;
    one.allowed_regions = {"a"};
    cr_assert(allowed_regions(one, nullptr) == names{"a"});
}

Test(allowed_regions, lists_of_both_sides_allow_what_they_share)
{
    cr_assert(regions({"a", "b", "c"}, {"c", "d", "b"}) == names({"b", "c"}));
}

/// An empty result must not be taken for a missing list.
Test(allowed_regions, lists_without_a_common_region_allow_none)
{
    const auto it = regions({"a"}, {"b"});
    cr_assert(it.has_value());
    cr_assert(it->empty());
}
