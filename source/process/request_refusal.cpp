#include "process/request_refusal.hpp"

#include "process/forward_log.hpp"

namespace pistachiopost {

bool refuse(gateway_state& state, caller_response& response,
            const forwarded_request& request, const request_refusal& answer)
{
    response.send_error(answer.status, answer.reason, answer.retry_after);
    state.metrics.record_outcome(answer.outcome);
    log_request_refused(request, answer.outcome, state.routes.version());
    return !response.closes();
}

bool refuse_for_stop(gateway_state& state, caller_response& response,
                     const forwarded_request& request)
{
    return refuse(state, response, request,
                  {503, "the gateway stops; not run", "stopping", min_retry_after});
}

bool refuse_unknown(gateway_state& state, caller_response& response,
                    const forwarded_request& request, const request_refusal& answer)
{
    if (state.directory.is_outdated(watched_table::configuration))
    {
        return refuse(state, response, request,
                      {503, "unknown in an outdated configuration; not run",
                       "outdated_configuration", min_retry_after});
    }
    return refuse(state, response, request, answer);
}

} // namespace pistachiopost
