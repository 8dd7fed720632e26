#include "request_fixture.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;
using namespace pistachiopost::testing;

namespace {

struct serve_attempts_fixture
{
    serve_result serve(const request& req = make_prompt_request())
    {
        return serve_attempts(req, router, caller, budget, retry_limits{});
    }

    scripted_router router;
    recording_caller caller;
    counted_budget budget;
};

} // namespace

Test(serve_attempts, whole_answer_is_delivered_once)
{
    serve_attempts_fixture it;
    it.router.script = {complete_answer()};
    const auto result = it.serve();
    cr_assert(result.end.has_value());
    cr_assert_eq(it.caller.text, "abc");
    cr_assert_eq(result.attempts, 1U);
}

Test(serve_attempts, crash_after_two_chunks_resumes_at_another_backend_from_the_third)
{
    serve_attempts_fixture it;
    auto cut = complete_answer();
    cut.resize(3);
    cut.push_back(failure(refusal_reason::backend_crashed, run_state::ran));
    it.router.script = {cut, complete_answer(2)};
    const auto result = it.serve();
    cr_assert(result.end.has_value());
    cr_assert_eq(it.caller.text, "abc");
    cr_assert_eq(it.router.orders[1].resume_offset, 2U);
    cr_assert_neq(it.router.used[0], it.router.used[1]);
}

Test(serve_attempts, duplicate_chunks_are_dropped)
{
    serve_attempts_fixture it;
    auto cut = complete_answer();
    cut.resize(3);
    cut.push_back(failure(refusal_reason::link_lost, run_state::unknown));
    it.router.script = {cut, complete_answer(0)};
    const auto result = it.serve();
    cr_assert(result.end.has_value());
    cr_assert_eq(it.caller.text, "abc");
}

Test(serve_attempts, answer_with_a_missing_chunk_is_not_complete)
{
    serve_attempts_fixture it;
    it.budget.left = 0;
    auto events = complete_answer();
    events.erase(events.begin() + 2);
    it.router.script = {events};
    const auto result = it.serve();
    cr_assert_not(result.end.has_value());
    cr_assert_eq(it.caller.text, "a");
}

Test(serve_attempts, end_before_the_total_is_a_failure)
{
    serve_attempts_fixture it;
    it.budget.left = 0;
    auto events = complete_answer();
    events.erase(events.begin() + 3);
    it.router.script = {events};
    cr_assert_not(it.serve().end.has_value());
}

Test(serve_attempts, non_repeatable_call_is_not_retried_after_it_may_have_run)
{
    serve_attempts_fixture it;
    it.router.script = {{failure(refusal_reason::link_lost, run_state::unknown)}};
    const auto result = it.serve(make_notice_request("k"));
    cr_assert_not(result.end.has_value());
    cr_assert_eq(result.attempts, 1U);
    cr_assert_eq(result.cause.state, run_state::unknown);
}

Test(serve_attempts, non_repeatable_call_is_retried_if_certainly_not_run)
{
    serve_attempts_fixture it;
    it.router.script = {{failure(refusal_reason::draining, run_state::not_run)},
                        complete_answer()};
    const auto result = it.serve(make_notice_request("k"));
    cr_assert(result.end.has_value());
    cr_assert_eq(result.attempts, 2U);
}

Test(serve_attempts, exhausted_budget_stops_retries)
{
    serve_attempts_fixture it;
    it.budget.left = 0;
    it.router.script = {{failure(refusal_reason::backend_failed, run_state::ran)}};
    const auto result = it.serve();
    cr_assert_eq(result.attempts, 1U);
    cr_assert_eq(result.cause.reason, refusal_reason::backend_failed);
}

Test(serve_attempts, attempt_without_answer_at_the_deadline_is_refused_as_deadline_passed)
{
    serve_attempts_fixture it;
    it.router.script = {{attempt_started{}}};
    const auto result = it.serve();
    cr_assert_eq(result.cause.reason, refusal_reason::deadline_passed);
    cr_assert_eq(result.cause.state, run_state::ran);
    cr_assert_eq(result.attempts, 1U);
}

Test(serve_attempts, run_state_of_an_earlier_attempt_is_kept_if_the_last_did_not_run)
{
    serve_attempts_fixture it;
    it.router.vms = {"a", "b"};
    it.router.script = {{failure(refusal_reason::backend_failed, run_state::ran)},
                        {failure(refusal_reason::queue_full, run_state::not_run)}};
    cr_assert_eq(it.serve().cause.state, run_state::ran);
}

Test(serve_attempts, disconnected_caller_ends_the_request)
{
    serve_attempts_fixture it;
    it.caller.gone = true;
    it.router.script = {complete_answer()};
    const auto result = it.serve();
    cr_assert_eq(result.cause.reason, refusal_reason::caller_gone);
    cr_assert_eq(result.attempts, 1U);
}

Test(serve_attempts, request_without_any_backend_is_refused_as_not_run)
{
    serve_attempts_fixture it;
    it.router.vms.clear();
    const auto result = it.serve();
    cr_assert_eq(result.cause.reason, refusal_reason::no_backend);
    cr_assert_eq(result.cause.state, run_state::not_run);
}
