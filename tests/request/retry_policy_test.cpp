#include "request_fixture.hpp"

#include "request/retry_policy.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;
using namespace pistachiopost::testing;

namespace {

refusal why(refusal_reason reason, run_state state)
{
    return {reason, state, "", milliseconds{0}};
}

} // namespace

Test(retry_policy, delay_doubles_up_to_the_limit)
{
    const retry_limits limits{
        .max_attempts = 9, .base_delay = milliseconds{10}, .max_delay = milliseconds{50}};
    cr_assert_eq(retry_delay(limits, 2, 0.999).count(), 9);
    cr_assert_eq(retry_delay(limits, 3, 0.0).count(), 10);
    cr_assert_eq(retry_delay(limits, 8, 0.0).count(), 25);
}

Test(retry_policy, retry_that_would_pass_the_deadline_is_not_made)
{
    counted_budget budget;
    const auto req = make_prompt_request(milliseconds{2});
    const auto next =
        decide_retry(req, why(refusal_reason::backend_failed, run_state::ran),
                     retry_limits{}, 1, budget, 0.9, start);
    cr_assert_not(next.retry);
    cr_assert_eq(budget.left, 10);
}

Test(retry_policy, redirect_before_any_work_spends_no_budget)
{
    counted_budget budget{0};
    const auto req = make_prompt_request();
    const auto redirected =
        decide_retry(req, why(refusal_reason::deadline_too_short, run_state::not_run),
                     retry_limits{}, 1, budget, 0.5, start);
    cr_assert(redirected.retry);
    const auto failed =
        decide_retry(req, why(refusal_reason::link_lost, run_state::unknown),
                     retry_limits{}, 1, budget, 0.5, start);
    cr_assert_not(failed.retry);
}

Test(retry_policy, permanent_refusal_is_not_retried)
{
    const auto req = make_prompt_request();
    cr_assert_not(is_retryable(req, why(refusal_reason::poisonous, run_state::not_run)));
    cr_assert_not(is_retryable(req, why(refusal_reason::too_large, run_state::not_run)));
    cr_assert(is_retryable(req, why(refusal_reason::draining, run_state::not_run)));
}

Test(delivery_progress, gap_is_out_of_sequence_and_delivered_chunk_is_duplicate)
{
    delivery_progress it;
    cr_assert_eq(it.accept(0, 2), chunk_disposition::deliver);
    cr_assert_eq(it.accept(0, 2), chunk_disposition::duplicate);
    cr_assert_eq(it.accept(1, 2), chunk_disposition::out_of_sequence);
    cr_assert_eq(it.accept(3, 1), chunk_disposition::out_of_sequence);
    cr_assert_not(it.completes(3));
    cr_assert(it.completes(2));
}
