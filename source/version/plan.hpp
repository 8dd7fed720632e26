/// \file
/// Operators' intents and the plans that they become; nothing takes effect until a
/// plan is confirmed.
#pragma once

#include "request/claim.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// What an intent changes.
enum class intent_action
{
    add,   ///< A new item; refused if it is there.
    set,   ///< Fields of an item; refused if it is not there.
    remove ///< An item; refused if it is not there.
};

/// A field of an item, as text; numbers and truth values are read from it.
struct intent_field
{
    std::string name;
    std::string value;
};

/// An operator's intent about one item of the configuration.
struct intent
{
    intent_action action = intent_action::add;
    std::string section; ///< "customers", "models", "services" or "drained".
    std::string item;    ///< Name of the item.
    std::vector<intent_field> fields;
};

/// How far a plan has come.
enum class plan_state
{
    open,
    confirmed,
    discarded
};

/// An intent with what it will do, based on one version.
struct plan
{
    std::string id;
    intent change;
    std::uint64_t base_version = 0; ///< Version that the effects were worked out on.
    std::string author;
    std::vector<std::string> effects;
    plan_state state = plan_state::open;
    std::uint64_t version = 0; ///< Version that it became, once confirmed.
    std::string confirmed_by;
    std::string reason;
    std::int64_t confirmed_at = 0; ///< Seconds since 1970.
};

/// The newest version and the plan it came from.
struct configuration_head
{
    std::uint64_t version = 0;
    std::string plan_id;
};

/// Who confirms, why and when.
struct confirmation
{
    std::string by;
    std::string reason;
    std::int64_t at = 0; ///< Seconds since 1970.
};

/// Where plans and versions are kept. All members may throw table_error. `commit`
/// writes the next version, the head and the confirmed plan in one transaction, on
/// condition that the head is still `base` and the plan still open; returns whether
/// it was applied.
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

/// How a confirmation ended.
enum class confirm_outcome
{
    in_force,     ///< This call put it in force, or an earlier one did.
    unknown_plan, ///< There is no plan with this id.
    discarded,    ///< The plan was discarded.
    overtaken,    ///< Another plan became the version that this one was to be.
    unavailable   ///< The table service does not answer; repeating is safe.
};

/// Result of a confirmation.
struct confirm_result
{
    confirm_outcome outcome = confirm_outcome::unavailable;
    std::uint64_t version = 0; ///< Version in force.
    std::string overtaken_by;  ///< Plan that overtook, if one did.
};

/// Applies an intent to a configuration document and numbers the result `version`.
/// Throws version_error if it does not apply or the result is not valid.
std::string apply_intent(std::string_view document, const intent& change,
                         std::uint64_t version);

/// Returns the name of `action`.
std::string_view to_string(intent_action action);
/// Returns the name of `state`.
std::string_view to_string(plan_state state);

namespace detail {

/// Reads the plan back after a lost answer or a failed condition.
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

/// Puts plan `id` in force as the next version. Safe to repeat: a confirmation whose
/// answer was lost is found by the plan's own row. Throws version_error if the
/// intent does not apply to its base.
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
