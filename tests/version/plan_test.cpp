#include "version/configuration_document.hpp"
#include "version/plan.hpp"
#include "version/plan_document.hpp"
#include "version/version_error.hpp"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <utility>

using namespace pistachiopost;

namespace {

/// In-memory plan store. It can lose the answer of a commit, or run another operator's
/// confirmation just before it.
struct memory_plans
{
    configuration_head head() const { return newest; }
    std::string document(std::uint64_t version) const { return documents.at(version); }
    std::optional<plan> find(std::string_view id) const
    {
        const auto it = plans.find(std::string(id));
        return it == plans.end() ? std::nullopt : std::optional(it->second);
    }
    bool commit(const plan& confirmed, std::uint64_t base, const std::string& text)
    {
        if (before_commit)
        {
            std::exchange(before_commit, nullptr)();
        }
        if (down)
        {
            throw table_error("down");
        }
        if (newest.version != base || plans.at(confirmed.id).state != plan_state::open)
        {
            return false;
        }
        newest = {confirmed.version, confirmed.id};
        documents[confirmed.version] = text;
        plans[confirmed.id] = confirmed;
        ++commits;
        if (std::exchange(lose_answer, false))
        {
            throw table_error("answer lost");
        }
        return true;
    }

    configuration_head newest{1, ""};
    std::map<std::uint64_t, std::string> documents{
        {1, R"({"version":1,"customers":{"optique":{"weight":1}}})"}};
    std::map<std::string, plan> plans;
    std::function<void()> before_commit;
    bool lose_answer = false;
    bool down = false;
    int commits = 0;
};

struct plan_fixture
{
    plan_fixture()
    {
        add("p1", "agency");
        add("p2", "museum");
    }

    void add(const std::string& id, const std::string& customer_name)
    {
        plan it;
        it.id = id;
        it.base_version = 1;
        it.change = {intent_action::add, "customers", customer_name, {{"weight", "3"}}};
        store.plans[id] = it;
    }

    confirm_result confirm(std::string_view id)
    {
        return confirm_plan(store, id, {"ana", "new member", 1'800'000'000});
    }

    memory_plans store;
};

} // namespace

Test(confirm_plan, open_plan_becomes_the_next_version_and_records_the_operator)
{
    plan_fixture it;
    const auto result = it.confirm("p1");
    cr_assert_eq(result.outcome, confirm_outcome::in_force);
    cr_assert_eq(result.version, 2U);
    cr_assert_eq(it.store.plans["p1"].confirmed_by, "ana");
    cr_assert_eq(parse_configuration(it.store.documents[2])->customer_count(), 2U);
}

Test(confirm_plan, concurrent_confirmation_is_overtaken_and_names_the_confirmed_plan)
{
    plan_fixture it;
    it.store.before_commit = [&it] { it.confirm("p2"); };
    const auto result = it.confirm("p1");
    cr_assert_eq(result.outcome, confirm_outcome::overtaken);
    cr_assert_eq(result.overtaken_by, "p2");
    cr_assert_eq(it.store.newest.version, 2U);
    cr_assert_eq(it.store.plans["p1"].state, plan_state::open);
}

Test(confirm_plan, lost_answer_is_resolved_from_the_row_of_the_plan)
{
    plan_fixture it;
    it.store.lose_answer = true;
    cr_assert_eq(it.confirm("p1").outcome, confirm_outcome::in_force);
    const auto again = it.confirm("p1");
    cr_assert_eq(again.outcome, confirm_outcome::in_force);
    cr_assert_eq(again.version, 2U);
    cr_assert_eq(it.store.commits, 1);
}

Test(confirm_plan, store_outage_is_reported_as_unavailable_and_can_be_retried)
{
    plan_fixture it;
    it.store.down = true;
    cr_assert_eq(it.confirm("p1").outcome, confirm_outcome::unavailable);
    it.store.down = false;
    cr_assert_eq(it.confirm("p1").outcome, confirm_outcome::in_force);
}

Test(confirm_plan, unknown_and_discarded_plans_are_distinguished)
{
    plan_fixture it;
    cr_assert_eq(it.confirm("p9").outcome, confirm_outcome::unknown_plan);
    it.store.plans["p1"].state = plan_state::discarded;
    cr_assert_eq(it.confirm("p1").outcome, confirm_outcome::discarded);
}

Test(apply_intent, intent_that_does_not_apply_is_refused)
{
    const memory_plans store;
    const auto& text = store.documents.at(1);
    cr_assert_throw(
        apply_intent(text, {intent_action::add, "customers", "optique", {}}, 2),
        version_error);
    cr_assert_throw(
        apply_intent(text, {intent_action::remove, "customers", "nobody", {}}, 2),
        version_error);
    cr_assert_throw(
        apply_intent(text,
                     {intent_action::set, "customers", "optique", {{"weight", "0"}}}, 2),
        version_error);
}

Test(plan_document, formatted_plan_parses_back_and_contains_only_key_digests)
{
    plan it;
    it.id = "p1";
    it.change = {intent_action::add, "customers", "museum", {{"key", "secret"}}};
    it.effects = {"one line"};
    const auto text = format_plan(it);
    cr_assert_eq(text.find("\"secret\""), std::string::npos);
    const auto got = parse_plan(text);
    cr_assert_eq(got.change.fields[0].value, key_digest("secret"));
    const auto next =
        parse_configuration(apply_intent(R"({"version":1})", got.change, 2));
    cr_assert_not_null(next->customer_by_key(key_digest("secret")));
}

Test(describe_shares, shares_before_and_after_are_stated)
{
    const memory_plans store;
    const auto lines =
        describe_shares(store.documents.at(1),
                        {intent_action::add, "customers", "agency", {{"weight", "3"}}});
    cr_assert_eq(lines[0], "share of agency: 0.0% before, 75.0% after");
}
