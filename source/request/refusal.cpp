#include "request/refusal.hpp"

namespace pistachiopost {

std::string_view to_string(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::bad_request:
        return "bad_request";
    case refusal_reason::unauthorized:
        return "unauthorized";
    case refusal_reason::not_found:
        return "not_found";
    case refusal_reason::too_large:
        return "too_large";
    case refusal_reason::key_required:
        return "idempotency_key_required";
    case refusal_reason::key_reused:
        return "idempotency_key_reused";
    case refusal_reason::in_progress:
        return "in_progress";
    case refusal_reason::deadline_too_short:
        return "deadline_too_short";
    case refusal_reason::deadline_passed:
        return "deadline_passed";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::no_backend:
        return "no_backend";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::store_unavailable:
        return "store_unavailable";
    case refusal_reason::backend_failed:
        return "backend_failed";
    case refusal_reason::backend_crashed:
        return "backend_crashed";
    case refusal_reason::link_lost:
        return "link_lost";
    case refusal_reason::poisonous:
        return "poisonous";
    case refusal_reason::too_many_connections:
        return "too_many_connections";
    case refusal_reason::caller_gone:
        return "caller_gone";
    case refusal_reason::internal:
        break;
    }
    return "internal";
}

std::string_view to_string(run_state state)
{
    switch (state)
    {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace pistachiopost
