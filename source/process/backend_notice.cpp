#include "process/backend_notice.hpp"

#include "process/gateway_state.hpp"
#include "process/logging.hpp"

namespace pistachiopost {

void apply_notice(gateway_state& state, const backend_record& backend,
                  const backend_notice& notice, std::string_view request_id,
                  time_point now)
{
    bool is_new = false;
    state.dispatch.update_registry(now, [&](backend_registry& it) {
        is_new = notice.leaving && it.record_leaving(backend);
    });
    if (is_new)
    {
        state.metrics.increment("leaving_announcements");
        log_event(log_level::info, "backend server announced that it leaves",
                  {{"backend", backend.id}, {"request", request_id}});
    }
}

} // namespace pistachiopost
