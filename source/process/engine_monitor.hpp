/// \file
/// Watches one backend server from its agent: health, capacity, forgotten memory.
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

/// Returns the streams that no job of this agent accounts for, now and at the
/// last look. `suspects` carries the memory from look to look. Two looks are
/// needed because a stream may start or end between the two lists.
inline std::vector<std::string> find_forgotten(std::span<const engine_stream> held,
                                               const std::set<std::string>& accounted,
                                               std::set<std::string>& suspects)
{
    std::vector<std::string> forgotten;
    std::set<std::string> unaccounted;
    for (const auto& it : held)
    {
        if (accounted.contains(it.id))
        {
            continue;
        }
        if (suspects.contains(it.id))
        {
            forgotten.push_back(it.id);
        }
        unaccounted.insert(it.id);
    }
    suspects = std::move(unaccounted);
    return forgotten;
}

/// The task that watches an engine until `stop`.
template <queue_discipline Discipline, typename Client>
void monitor_engine(agent_state<Discipline>& state, Client client, stop_flag& stop,
                    milliseconds interval)
{
    std::set<std::string> suspects;
    bool was_healthy = true;
    do
    {
        try
        {
            const auto seen = client.state();
            std::set<std::string> accounted;
            for (const auto& job : state.queue.jobs())
            {
                accounted.insert(job->order().attempt_id);
            }
            for (const auto& id : find_forgotten(seen.streams, accounted, suspects))
            {
                log(log_level::warn, "releasing a stream that no job accounts for",
                    {.request = id});
                client.cancel(id);
            }
            state.queue.visit([&seen](auto& it) {
                it.window().set_capacity(seen.memory_tokens, seen.slots,
                                         seen.prefill_rate);
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
