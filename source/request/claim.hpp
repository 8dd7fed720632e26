/// \file
/// Claims on idempotency keys: the record that makes a call run at most once.
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

/// How far a claimed call has come.
enum class claim_state
{
    claimed, ///< Held by an entry that runs it or died with it.
    done,    ///< Ran; the answer is stored.
    unknown  ///< May have run; must never run again.
};

/// The row kept for one idempotency key of one customer.
struct claim_record
{
    std::string customer;
    std::string key;
    std::string claim_id;          ///< Names the request that holds the claim.
    std::uint64_t fingerprint = 0; ///< Hash of the call, to detect a reused key.
    claim_state state = claim_state::claimed;
    int status = 0; ///< HTTP status of the stored answer.
    std::string content_type;
    std::string body; ///< Stored answer.
};

/// What to do with a row.
enum class claim_action
{
    insert,  ///< Write the record if the key has none.
    replace, ///< Write the record over one with the same claim id.
    remove   ///< Delete the record with the same claim id.
};

/// One conditional write.
struct claim_write
{
    claim_action action = claim_action::insert;
    claim_record record;
};

/// The table service did not answer, or refused. The write may have taken effect.
class table_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Where claims are kept. `commit` applies all writes or none, and returns the
/// positions of those whose condition failed (empty: committed). Both throw
/// table_error.
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

/// What became of one write.
enum class write_outcome
{
    applied,
    rejected,   ///< The condition failed; see the record found.
    unavailable ///< Unknown or not applied: the table service does not answer.
};

/// Result of one write.
struct claim_result
{
    write_outcome outcome = write_outcome::unavailable;
    std::optional<claim_record> found; ///< The row in the way, if read.
};

/// Returns whether `found` shows that `write` took effect.
bool took_effect(const claim_write& write, const std::optional<claim_record>& found);

/// Returns why a call whose claim met `found` is not run. A stored answer is no
/// refusal: the caller checks for claim_state::done first.
refusal conflict_refusal(const claim_record& wanted, const claim_record& found);

/// Reads the row back to learn what became of a write whose answer was lost.
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

/// Applies all writes in as few transactions as possible. Writes whose condition
/// fails are left out and the rest tried again; a lost answer is settled by
/// reading back.
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
