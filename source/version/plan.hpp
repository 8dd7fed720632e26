/// \file
/// Configuration changes requested by operators, as plans. A plan takes effect when it is
/// confirmed.
#pragma once

#include "request/claim.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Operation of an intent.
enum class intent_action
{
    add,   ///< Create an item; refused if it exists.
    set,   ///< Change fields of an item; refused if it does not exist.
    remove ///< Delete an item; refused if it does not exist.
};

/// A field of an item as text. Numbers and booleans are parsed from it.
struct intent_field
{
    std::string name;
    std::string value;
};

/// A change to one item of the configuration, requested by an operator.
struct intent
{
    intent_action action = intent_action::add;
    std::string section; ///< "customers", "models", "services" or "drained".
    std::string item;    ///< Name of the item.
    std::vector<intent_field> fields;
};

/// State of a plan.
enum class plan_state
{
    open,
    confirmed,
    discarded
};

/// An intent with its effects on one configuration version.
struct plan
{
    std::string id;
    intent change;
    std::uint64_t base_version = 0; ///< Version that the effects were computed for.
    std::string author;
    std::vector<std::string> effects;
    plan_state state = plan_state::open;
    std::uint64_t version = 0; ///< Version created by the confirmation, or 0.
    std::string confirmed_by;
    std::string reason;
    std::int64_t confirmed_at = 0; ///< Seconds since 1970.
};

/// The newest version and the plan that created it.
struct configuration_head
{
    std::uint64_t version = 0;
    std::string plan_id;
};

/// Operator, reason and time of a confirmation.
struct confirmation
{
    std::string by;
    std::string reason;
    std::int64_t at = 0; ///< Seconds since 1970.
};

/// Storage of plans and versions. All members may throw table_error. `commit` writes the
/// next version, the head and the confirmed plan in one transaction, provided that the
/// head is still the given base version and the plan is still open. Returns whether the
/// transaction was applied.
template <typename Store>
concept plan_store = requires(Store& it, std::string_view id, std::uint64_t version,
                              const plan& confirmed, const std::string& document)
{
    {
        it.head()
        } -> std::same_as<configuration_head>;
    {
        it.document(version)
        } -> std::same_as<std::string>;
    {
        it.find(id)
        } -> std::same_as<std::optional<plan>>;
    {
        it.commit(confirmed, version, document)
        } -> std::same_as<bool>;
};

/// Outcome of a confirmation.
enum class confirm_outcome
{
    in_force,     ///< The plan is in force, by this call or an earlier one.
    unknown_plan, ///< No plan has this id.
    discarded,    ///< The plan was discarded.
    overtaken,    ///< Another plan was confirmed on the same base version.
    unavailable   ///< The table service does not answer; a retry is safe.
};

/// Result of a confirmation.
struct confirm_result
{
    confirm_outcome outcome = confirm_outcome::unavailable;
    std::uint64_t version = 0; ///< Version in force.
    std::string overtaken_by;  ///< Id of the plan that was confirmed instead.
};

/// Applies an intent to a configuration document and sets its version to `version`.
/// Throws version_error if the intent does not apply or the result is invalid.
std::string apply_intent(std::string_view document, const intent& change,
                         std::uint64_t version);

std::string_view to_string(intent_action action);
std::string_view to_string(plan_state state);

namespace detail {

/// Determines the outcome after a lost answer or a failed condition, by reading the plan
/// back.
template <plan_store Store>
confirm_result resolve_confirmation(Store& store, std::string_view id)
{
    const auto found = store.find(id);
    if (!found)
    {
        return {confirm_outcome::unknown_plan, 0, {}};
    }
    if (found->state == plan_state::confirmed)
    {
        return {confirm_outcome::in_force, found->version, {}};
    }
    if (found->state == plan_state::discarded)
    {
        return {confirm_outcome::discarded, 0, {}};
    }
    const auto head = store.head();
    if (head.version == found->base_version)
    {
        return {confirm_outcome::unavailable, head.version, {}};
    }
    return {confirm_outcome::overtaken, head.version, head.plan_id};
}

} // namespace detail

/// Confirms plan `id`, which creates the next version. Idempotent: if the answer of the
/// table service is lost, the outcome is read from the row of the plan. Throws
/// version_error if the intent does not apply to its base version.
template <plan_store Store>
confirm_result confirm_plan(Store& store, std::string_view id, const confirmation& who)
{
    try
    {
        auto found = store.find(id);
        const bool ready = found && found->state == plan_state::open &&
                           store.head().version == found->base_version;
        if (!ready)
        {
            return detail::resolve_confirmation(store, id);
        }
        const auto base = found->base_version;
        found->state = plan_state::confirmed;
        found->version = base + 1;
        found->confirmed_by = who.by;
        found->reason = who.reason;
        found->confirmed_at = who.at;
        const auto document =
            apply_intent(store.document(base), found->change, found->version);
        try
        {
            if (store.commit(*found, base, document))
            {
                return {confirm_outcome::in_force, found->version, {}};
            }
        }
        catch (const table_error&)
        {
            return detail::resolve_confirmation(store, id);
        }
        return detail::resolve_confirmation(store, id);
    }
    catch (const table_error&)
    {
        return {};
    }
}

} // namespace pistachiopost
