/// \file
/// Serves decoded requests of an entry: at most once if they carry an idempotency key
/// and are not repeatable, otherwise by one or more
/// attempts.
#pragma once

#include "process/claim_batcher.hpp"
#include "process/entry_router.hpp"
#include "process/entry_state.hpp"
#include "request/serve_claimed.hpp"

namespace pistachiopost {

/// Serves requests with the entry's router and retry budget; models request_service.
template <backend_choice Choice, claim_table Table>
class entry_service
{
public:
    entry_service(entry_state& state, agent_links& links, claim_batcher<Table>& claims)
        : state_(state), router_(state.directory, links, state.crashes), claims_(claims)
    {
    }

    /// Serves one request until it is answered or refused.
    template <answer_receiver Receiver>
    serve_result serve(const request& req, Receiver& receiver)
    {
        const auto& limits = state_.settings.retries;
        state_.budget.earn(receiver.now());
        if (!req.repeatable && !req.idempotency_key.empty())
        {
            return serve_claimed(req, router_, receiver, state_.budget, limits, claims_);
        }
        return serve_attempts(req, router_, receiver, state_.budget, limits);
    }

private:
    entry_state& state_;
    entry_router<Choice> router_;
    claim_batcher<Table>& claims_;
};

} // namespace pistachiopost
