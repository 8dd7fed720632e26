/// \file
/// Polls the engine of an agent for health, capacity and orphaned streams.
#pragma once

#include "connection/engine_client.hpp"
#include "process/agent_state.hpp"
#include "process/logging.hpp"
#include "process/stop_flag.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace pistachiopost {

/// Returns the engine streams that belonged to no job of this agent at this poll and
/// the previous one. `previously_unowned` holds the result of the previous poll and is
/// updated. Two polls are needed because a stream may start or end between the reads of
/// the engine's list and the job list.
inline std::vector<std::string>
find_orphaned_streams(std::span<const engine_stream> held,
                      const std::set<std::string>& owned,
                      std::set<std::string>& previously_unowned)
{
    std::vector<std::string> orphaned;
    std::set<std::string> unowned;
    for (const auto& it : held)
    {
        if (owned.contains(it.id))
        {
            continue;
        }
        if (previously_unowned.contains(it.id))
        {
            orphaned.push_back(it.id);
        }
        unowned.insert(it.id);
    }
    previously_unowned = std::move(unowned);
    return orphaned;
}

/// Polls the engine every `interval` until `stop`.
template <queue_discipline Discipline, typename Client>
void monitor_engine(agent_state<Discipline>& state, Client client, stop_flag& stop,
                    milliseconds interval)
{
    std::set<std::string> previously_unowned;
    bool was_healthy = true;
    do
    {
        try
        {
            const auto engine = client.state();
            std::set<std::string> owned;
            for (const auto& job : state.queue.jobs())
            {
                owned.insert(job->order().attempt_id);
            }
            for (const auto& id :
                 find_orphaned_streams(engine.streams, owned, previously_unowned))
            {
                log(log_level::warn, "releasing an orphaned engine stream",
                    {.request = id});
                client.cancel(id);
            }
            state.queue.visit([&engine](auto& it) {
                it.window().set_capacity(engine.memory_tokens, engine.slots,
                                         engine.prefill_rate);
            });
            state.set_healthy(true);
            was_healthy = true;
        }
        catch (const connection_error& it)
        {
            state.set_healthy(false);
            if (std::exchange(was_healthy, false))
            {
                log(log_level::warn,
                    fmt::format("backend server is down: {}", it.what()));
            }
        }
    } while (!stop.wait_for(interval));
}

} // namespace pistachiopost
