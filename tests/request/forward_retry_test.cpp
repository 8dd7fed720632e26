#include "request/forward_retry.hpp"

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

Test(forward_retry, at_most_once_call_is_retried_only_if_certainly_not_run)
{
    const auto target = route_of(call_kind::at_most_once, false, 3);
    cr_assert(may_retry(target, {0, 1, false}, now, later));
    cr_assert_not(may_retry(target, {1, 0, false}, now, later));
}

Test(forward_retry, stream_is_retried_only_if_resumable)
{
    cr_assert(may_retry(route_of(call_kind::stream, true, 2), {1, 0, true}, now, later));
    cr_assert_not(
        may_retry(route_of(call_kind::stream, false, 2), {1, 0, true}, now, later));
}

Test(forward_retry, attempts_stop_at_the_limit_of_the_route)
{
    const auto target = route_of(call_kind::idempotent, false, 2);
    cr_assert(may_retry(target, {1, 0, false}, now, later));
    cr_assert_not(may_retry(target, {2, 0, false}, now, later));
}

Test(forward_retry, redirects_are_limited_by_number_and_by_deadline)
{
    const auto target = route_of(call_kind::idempotent, false, 2);
    cr_assert_not(may_retry(target, {0, 4, false}, now, later));
    cr_assert_not(may_retry(target, {0, 1, false}, now, now + milliseconds{10}));
}

Test(forward_retry, not_run_is_reported_only_if_no_attempt_may_have_run)
{
    cr_assert_eq(choose_local_reply({0, 2, false}, true), local_reply::not_run);
    cr_assert_eq(choose_local_reply({1, 0, false}, true), local_reply::out_of_time);
    cr_assert_eq(choose_local_reply({1, 1, false}, false), local_reply::failed);
    cr_assert_eq(choose_local_reply({1, 0, true}, false), local_reply::broken_off);
}
