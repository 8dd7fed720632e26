#include "connection/refusal_response.hpp"

#include <nlohmann/json.hpp>

namespace pistachiopost {

int http_status(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::bad_request:
    case refusal_reason::key_required:
        return 400;
    case refusal_reason::unauthorized:
        return 401;
    case refusal_reason::not_found:
        return 404;
    case refusal_reason::in_progress:
        return 409;
    case refusal_reason::too_large:
        return 413;
    case refusal_reason::key_reused:
    case refusal_reason::poisonous:
        return 422;
    case refusal_reason::backend_failed:
    case refusal_reason::backend_crashed:
    case refusal_reason::link_lost:
        return 502;
    case refusal_reason::deadline_too_short:
    case refusal_reason::queue_full:
    case refusal_reason::no_backend:
    case refusal_reason::draining:
    case refusal_reason::store_unavailable:
    case refusal_reason::too_many_connections:
        return 503;
    case refusal_reason::deadline_passed:
        return 504;
    case refusal_reason::caller_gone:
        return 499;
    case refusal_reason::internal:
        break;
    }
    return 500;
}

std::string refusal_json(const refusal& why)
{
    nlohmann::json error{{"type", to_string(why.reason)},
                         {"message", why.detail},
                         {"execution", to_string(why.state)}};
    if (why.retry_after.count() > 0)
    {
        error["retry_after_ms"] = why.retry_after.count();
    }
    return nlohmann::json{{"error", std::move(error)}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace pistachiopost
