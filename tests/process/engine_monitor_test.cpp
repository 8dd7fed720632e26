#include "process/engine_monitor.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

Test(find_forgotten, unaccounted_stream_is_released_at_the_second_look_only)
{
    const std::vector<engine_stream> held{{"mine", "now"}, {"left", "before"}};
    std::set<std::string> suspects;
    cr_assert(find_forgotten(held, {"mine"}, suspects).empty());
    const auto forgotten = find_forgotten(held, {"mine"}, suspects);
    cr_assert_eq(forgotten.size(), 1U);
    cr_assert_eq(forgotten[0], "left");
}

Test(find_forgotten, stream_that_is_accounted_for_later_is_kept)
{
    const std::vector<engine_stream> held{{"starting", "now"}};
    std::set<std::string> suspects;
    find_forgotten(held, {}, suspects);
    cr_assert(find_forgotten(held, {"starting"}, suspects).empty());
    cr_assert(find_forgotten(held, {}, suspects).empty());
}
