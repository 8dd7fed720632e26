/// \file
/// Worker task of one backend connection: takes the next job, runs it and sends the
/// result.
#pragma once

#include "connection/engine_backend.hpp"
#include "process/agent_state.hpp"

#include <memory>
#include <utility>
#include <variant>

namespace pistachiopost {

/// Records a crash of the backend server during `job` and returns the refusal for the
/// attempt: `poisonous` if the job ran in isolation, else `why`.
template <queue_discipline Discipline>
refusal handle_crash(agent_state<Discipline>& state, const attempt_job& job, refusal why,
                     time_point now)
{
    const bool confirmed = job.order().isolated;
    state.set_healthy(false);
    state.add_crash_record({job.order().fingerprint, confirmed}, now);
    if (confirmed)
    {
        why.reason = refusal_reason::poisonous;
        why.detail = "this request crashed two backend servers; change it";
    }
    return why;
}

/// Runs jobs until the queue stops. `clock` returns the current time.
template <queue_discipline Discipline, backend_connection Backend, typename Clock>
void run_worker(agent_state<Discipline>& state, Backend backend, Clock clock)
{
    while (const auto job = state.queue.take(clock))
    {
        auto ended =
            backend.run(*job, [&] { state.queue.on_first_token(*job, clock()); });
        if (auto* why = std::get_if<refusal>(&ended);
            why != nullptr && why->reason == refusal_reason::backend_crashed)
        {
            *why = handle_crash(state, *job, std::move(*why), clock());
        }
        state.queue.on_finished(*job, clock());
        if (auto* end = std::get_if<answer_end>(&ended))
        {
            job->send(std::move(*end));
        }
        else
        {
            job->send(attempt_failed{std::get<refusal>(std::move(ended))});
        }
    }
}

} // namespace pistachiopost
