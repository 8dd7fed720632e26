/// \file
/// Claims on idempotency keys: stored records by which a call runs at most once.
#pragma once

#include "request/refusal.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

namespace pistachiopost {

/// State of a claimed call.
enum class claim_state
{
    claimed, ///< Held by an entry that runs the call or crashed during it.
    done,    ///< Executed; the answer is stored.
    unknown  ///< May have been executed; must not be executed again.
};

/// Row of one idempotency key of one customer.
struct claim_record
{
    std::string customer;
    std::string key;
    std::string claim_id;          ///< Id of the request that holds the claim.
    std::uint64_t fingerprint = 0; ///< Hash of the call, to detect a reused key.
    claim_state state = claim_state::claimed;
    int status = 0; ///< HTTP status of the stored answer.
    std::string content_type;
    std::string body; ///< Stored answer.
};

/// Operation on a row.
enum class claim_action
{
    insert,  ///< Write the record if the key has no row.
    replace, ///< Overwrite the row if it has the same claim id.
    remove   ///< Delete the row if it has the same claim id.
};

/// One conditional write.
struct claim_write
{
    claim_action action = claim_action::insert;
    claim_record record;
};

/// The table service did not answer or returned an error. A write may have taken effect.
class table_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Storage of claims. `commit` applies all writes or none and returns the indices of the
/// writes whose condition failed (empty: committed). Both members may throw table_error.
template <typename Table>
concept claim_table = requires(Table& it, std::span<const claim_write> writes,
                               const claim_record& record)
{
    {
        it.commit(writes)
        } -> std::same_as<std::vector<std::size_t>>;
    {
        it.find(record)
        } -> std::same_as<std::optional<claim_record>>;
};

/// Outcome of one write.
enum class write_outcome
{
    applied,
    rejected,   ///< The condition failed; see claim_result::found.
    unavailable ///< Outcome unknown or not applied: no answer from the table service.
};

/// Result of one write.
struct claim_result
{
    write_outcome outcome = write_outcome::unavailable;
    std::optional<claim_record> found; ///< The conflicting row, if it was read.
};

/// Returns whether `found` shows that `write` took effect.
bool took_effect(const claim_write& write, const std::optional<claim_record>& found);

/// Returns the refusal of a call whose claim conflicts with `found`. A stored answer is
/// returned to the caller instead, so check for claim_state::done first.
refusal conflict_refusal(const claim_record& wanted, const claim_record& found);

/// Reads the row back to determine the outcome of a write whose answer was lost.
template <claim_table Table>
claim_result resolve_by_read_back(Table& table, const claim_write& write)
{
    try
    {
        auto found = table.find(write.record);
        const bool applied = took_effect(write, found);
        const auto outcome = applied ? write_outcome::applied
                             : found ? write_outcome::rejected
                                     : write_outcome::unavailable;
        return {outcome, std::move(found)};
    }
    catch (const table_error&)
    {
        return {};
    }
}

/// Applies all writes in as few transactions as possible. Removes writes whose condition
/// fails and retries the others. After a lost answer, reads the rows back to determine
/// the outcomes.
template <claim_table Table>
std::vector<claim_result> apply_claims(Table& table, std::span<const claim_write> writes)
{
    std::vector<claim_result> results(writes.size());
    std::vector<std::size_t> pending(writes.size());
    for (std::size_t i = 0; i < pending.size(); ++i)
    {
        pending[i] = i;
    }
    while (!pending.empty())
    {
        std::vector<claim_write> batch;
        batch.reserve(pending.size());
        for (const auto i : pending)
        {
            batch.push_back(writes[i]);
        }
        std::vector<std::size_t> failed;
        try
        {
            failed = table.commit(batch);
        }
        catch (const table_error&)
        {
            for (const auto i : pending)
            {
                results[i] = resolve_by_read_back(table, writes[i]);
            }
            return results;
        }
        if (failed.empty())
        {
            for (const auto i : pending)
            {
                results[i].outcome = write_outcome::applied;
            }
            return results;
        }
        for (auto it = failed.rbegin(); it != failed.rend(); ++it)
        {
            const auto i = pending[*it];
            results[i] = resolve_by_read_back(table, writes[i]);
            pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(*it));
        }
    }
    return results;
}

} // namespace pistachiopost
