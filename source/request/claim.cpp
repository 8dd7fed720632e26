#include "request/claim.hpp"

namespace pistachiopost {

bool took_effect(const claim_write& write, const std::optional<claim_record>& found)
{
    if (write.action == claim_action::remove)
    {
        return !found || found->claim_id != write.record.claim_id;
    }
    return found && found->claim_id == write.record.claim_id &&
           found->state == write.record.state;
}

refusal conflict_refusal(const claim_record& wanted, const claim_record& found)
{
    if (found.fingerprint != wanted.fingerprint)
    {
        return {refusal_reason::key_reused, run_state::not_run,
                "this Idempotency-Key was used for another call; send a new key",
                milliseconds{0}};
    }
    if (found.state == claim_state::unknown)
    {
        return {refusal_reason::in_progress, run_state::unknown,
                "an earlier call with this key may have run; check its effect before a "
                "call with a new key",
                milliseconds{0}};
    }
    return {
        refusal_reason::in_progress, run_state::unknown,
        "a call with this key is under way or was cut short; repeat it later to learn "
        "its result",
        seconds{1}};
}

} // namespace pistachiopost
