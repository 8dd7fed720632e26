#include "process/engine_monitor.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

Test(find_orphaned_streams, unowned_stream_is_released_only_at_the_second_poll)
{
    const std::vector<engine_stream> held{{"mine", "now"}, {"left", "before"}};
    std::set<std::string> previously_unowned;
    cr_assert(find_orphaned_streams(held, {"mine"}, previously_unowned).empty());
    const auto orphaned = find_orphaned_streams(held, {"mine"}, previously_unowned);
    cr_assert_eq(orphaned.size(), 1U);
    cr_assert_eq(orphaned[0], "left");
}

Test(find_orphaned_streams, stream_owned_at_the_next_poll_is_kept)
{
    const std::vector<engine_stream> held{{"starting", "now"}};
    std::set<std::string> previously_unowned;
    find_orphaned_streams(held, {}, previously_unowned);
    cr_assert(find_orphaned_streams(held, {"starting"}, previously_unowned).empty());
    cr_assert(find_orphaned_streams(held, {}, previously_unowned).empty());
}
