#include "request/repeat_decision.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;

namespace {

const time_point now{std::chrono::hours{1}};
const time_point later = now + seconds{1};

route route_of(call_kind kind, bool resumable, std::uint32_t max_attempts)
{
    route it;
    it.kind = kind;
    it.resumable = resumable;
    it.max_attempts = max_attempts;
    return it;
}

} // namespace

Test(repeat_decision, call_that_may_run_once_is_repeated_only_if_it_surely_did_not_run)
{
    const auto way = route_of(call_kind::at_most_once, false, 3);
    cr_assert(may_repeat(way, {0, 1, false}, now, later));
    cr_assert_not(may_repeat(way, {1, 0, false}, now, later));
}

Test(repeat_decision, stream_is_repeated_only_if_it_may_be_resumed)
{
    cr_assert(may_repeat(route_of(call_kind::stream, true, 2), {1, 0, true}, now, later));
    cr_assert_not(
        may_repeat(route_of(call_kind::stream, false, 2), {1, 0, true}, now, later));
}

Test(repeat_decision, runs_end_at_the_routes_limit)
{
    const auto way = route_of(call_kind::idempotent, false, 2);
    cr_assert(may_repeat(way, {1, 0, false}, now, later));
    cr_assert_not(may_repeat(way, {2, 0, false}, now, later));
}

Test(repeat_decision, redirects_are_bounded_and_need_time)
{
    const auto way = route_of(call_kind::idempotent, false, 2);
    cr_assert_not(may_repeat(way, {0, 4, false}, now, later));
    cr_assert_not(may_repeat(way, {0, 1, false}, now, now + milliseconds{10}));
}

Test(repeat_decision, not_run_is_said_only_if_nothing_may_have_run)
{
    cr_assert_eq(final_answer({0, 2, false}, true), own_answer::not_run);
    cr_assert_eq(final_answer({1, 0, false}, true), own_answer::out_of_time);
    cr_assert_eq(final_answer({1, 1, false}, false), own_answer::failed);
    cr_assert_eq(final_answer({1, 0, true}, false), own_answer::broken_off);
}
