#include "request_fixture.hpp"

#include "request/serve_claimed.hpp"

#include <criterion/criterion.h>

using namespace pistachiopost;
using namespace pistachiopost::testing;

namespace {

struct serve_claimed_fixture
{
    serve_result serve(std::string_view id = "vm-boot-1", std::string_view key = "k")
    {
        const auto req = make_notice_request(key, id);
        return serve_claimed(req, router, caller, budget, retry_limits{}, writer);
    }

    memory_table table;
    direct_claim_writer writer{table, {}};
    scripted_router router;
    recording_caller caller;
    counted_budget budget;
};

} // namespace

Test(serve_claimed, first_call_runs_and_its_answer_is_stored)
{
    serve_claimed_fixture it;
    it.router.script = {complete_answer()};
    cr_assert(it.serve().end.has_value());
    cr_assert_eq(it.table.rows.size(), 1U);
    cr_assert_eq(it.table.rows[0].state, claim_state::done);
    cr_assert_eq(it.table.rows[0].body, "abc");
}

Test(serve_claimed, repeat_gets_the_stored_answer_without_running)
{
    serve_claimed_fixture it;
    it.router.script = {complete_answer()};
    it.serve("vm-boot-1");
    it.caller.text.clear();
    const auto again = it.serve("vm-boot-2");
    cr_assert(again.end.has_value());
    cr_assert_eq(it.caller.text, "abc");
    cr_assert_eq(it.router.used.size(), 1U);
}

Test(serve_claimed, call_during_a_store_outage_is_refused_as_not_run)
{
    serve_claimed_fixture it;
    it.table.down = true;
    const auto result = it.serve();
    cr_assert_eq(result.cause.reason, refusal_reason::store_unavailable);
    cr_assert_eq(result.cause.state, run_state::not_run);
    cr_assert(it.router.used.empty());
}

Test(serve_claimed, claim_whose_answer_is_lost_is_read_back)
{
    serve_claimed_fixture it;
    it.table.lose_answers = 1;
    it.router.script = {complete_answer()};
    cr_assert(it.serve().end.has_value());
    cr_assert_eq(it.router.used.size(), 1U);
}

Test(serve_claimed, call_that_may_have_run_is_never_run_again)
{
    serve_claimed_fixture it;
    it.router.script = {{failure(refusal_reason::backend_failed, run_state::unknown)}};
    cr_assert_eq(it.serve("vm-boot-1").cause.state, run_state::unknown);
    const auto again = it.serve("vm-boot-2");
    cr_assert_not(again.end.has_value());
    cr_assert_eq(again.cause.state, run_state::unknown);
    cr_assert_eq(it.router.used.size(), 1U);
}

Test(serve_claimed, call_that_did_not_run_releases_its_claim)
{
    serve_claimed_fixture it;
    it.router.vms.clear();
    cr_assert_eq(it.serve().cause.state, run_state::not_run);
    cr_assert_eq(it.writer.later.size(), 1U);
    cr_assert_eq(it.writer.later[0].action, claim_action::remove);
}

Test(serve_claimed, answer_that_cannot_be_stored_now_is_stored_later)
{
    serve_claimed_fixture it;
    it.router.script = {complete_answer()};
    struct failing_router : scripted_router
    {
        attempt start(const chosen_backend& chosen, attempt_order order,
                      const std::shared_ptr<const std::string>& body,
                      const std::shared_ptr<event_queue>& events)
        {
            table->down = true;
            return scripted_router::start(chosen, std::move(order), body, events);
        }
        memory_table* table = nullptr;
    } router;
    router.table = &it.table;
    router.script = {complete_answer()};
    const auto result = serve_claimed(make_notice_request("k"), router, it.caller,
                                      it.budget, retry_limits{}, it.writer);
    cr_assert(result.end.has_value());
    cr_assert_eq(it.writer.later.size(), 1U);
    cr_assert_eq(it.writer.later[0].record.state, claim_state::done);
}

Test(serve_claimed, other_call_with_the_same_key_is_refused)
{
    serve_claimed_fixture it;
    it.router.script = {complete_answer()};
    it.serve();
    auto other = make_notice_request("k", "vm-boot-2");
    other.fingerprint += 1;
    const auto result =
        serve_claimed(other, it.router, it.caller, it.budget, retry_limits{}, it.writer);
    cr_assert_eq(result.cause.reason, refusal_reason::key_reused);
    cr_assert_eq(it.router.used.size(), 1U);
}

Test(apply_claims, rejected_claim_does_not_prevent_the_others)
{
    memory_table table;
    std::vector<claim_write> writes(3);
    for (std::size_t i = 0; i < writes.size(); ++i)
    {
        writes[i].record.key = std::to_string(i);
        writes[i].record.claim_id = "mine";
    }
    auto taken = writes[1].record;
    taken.claim_id = "other";
    table.rows.push_back(taken);
    const auto results = apply_claims(table, writes);
    cr_assert_eq(results[0].outcome, write_outcome::applied);
    cr_assert_eq(results[1].outcome, write_outcome::rejected);
    cr_assert_eq(results[1].found->claim_id, "other");
    cr_assert_eq(results[2].outcome, write_outcome::applied);
    cr_assert_eq(table.commits, 2);
}

Test(apply_claims, lost_answer_without_effect_is_unavailable)
{
    memory_table table;
    table.down = true;
    std::vector<claim_write> writes(1);
    writes[0].record.claim_id = "mine";
    cr_assert_eq(apply_claims(table, writes)[0].outcome, write_outcome::unavailable);
}
