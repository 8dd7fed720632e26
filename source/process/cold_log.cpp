#include "process/cold_log.hpp"

#include "process/logging.hpp"

namespace pistachiopost {

void log_cold_changes(gateway_state& state, time_point now)
{
    for (const auto& it : state.dispatch.take_cold_changes(now))
    {
        if (it.remaining.count() > 0)
        {
            log_event(
                log_level::info, "backend server is cold",
                {{"backend", it.backend},
                 {"service", it.service},
                 {"remaining_ms", static_cast<std::uint64_t>(it.remaining.count())}});
        }
        else
        {
            log_event(log_level::info, "backend server is warm",
                      {{"backend", it.backend}, {"service", it.service}});
        }
    }
}

} // namespace pistachiopost
