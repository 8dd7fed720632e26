#include "process/backend_notice.hpp"

#include "process/gateway_state.hpp"
#include "process/logging.hpp"

namespace pistachiopost {

namespace {

constexpr milliseconds max_return_jitter{100};

} // namespace

void apply_notice(gateway_state& state, const backend_record& backend,
                  const backend_notice& notice, std::string_view request_id,
                  time_point now)
{
    // Gateways that were refused together return one after the other, none too early.
    const milliseconds jitter{static_cast<milliseconds::rep>(
        contention_hash(request_id) % (max_return_jitter.count() + 1))};
    bool is_leaving = false;
    bool is_out = false;
    state.dispatch.update_registry(now, [&](backend_registry& it) {
        is_leaving = notice.leaving && it.record_leaving(backend);
        is_out = notice.backoff.count() > 0 &&
                 it.record_backoff(backend, now + notice.backoff + jitter);
        if (notice.cold.count() > 0)
        {
            it.record_cold(backend, now + notice.cold, now);
        }
    });
    if (is_out)
    {
        state.metrics.increment("backend_backoffs");
        log_event(log_level::info, "backend server asked for backoff",
                  {{"backend", backend.id},
                   {"request", request_id},
                   {"backoff_ms", static_cast<std::uint64_t>(notice.backoff.count())}});
    }
    if (is_leaving)
    {
        state.metrics.increment("leaving_announcements");
        log_event(log_level::info, "backend server announced that it leaves",
                  {{"backend", backend.id}, {"request", request_id}});
    }
}

} // namespace pistachiopost
