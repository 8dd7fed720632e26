#include "process/agent_process.hpp"

#include "process/backend_worker.hpp"
#include "process/engine_monitor.hpp"
#include "process/fair_queue.hpp"
#include "process/fifo_queue.hpp"
#include "process/link_acceptor.hpp"
#include "request/request_id.hpp"

#include <vector>

namespace pistachiopost {

namespace {

constexpr milliseconds monitor_interval{500};
constexpr milliseconds monitor_timeout{1'000};
constexpr milliseconds final_event_delay{300}; // lets the last events reach the entries

/// Starts one worker task for each slot, each with its own backend connection.
template <queue_discipline Discipline>
std::vector<task> start_workers(const agent_settings& settings,
                                agent_state<Discipline>& state)
{
    std::vector<task> workers;
    for (std::uint32_t i = 0; i < settings.limits.slots; ++i)
    {
        if (settings.kind == work_kind::completion)
        {
            workers.emplace_back([&] {
                run_worker(
                    state,
                    engine_backend(settings.backend, state.boot(), settings.hang_timeout),
                    steady::now);
            });
        }
        else
        {
            workers.emplace_back([&] {
                run_worker(state, service_backend(settings.backend), steady::now);
            });
        }
    }
    return workers;
}

template <queue_discipline Discipline>
int run_with(const agent_settings& settings)
{
    request_id_source ids(settings.self.vm);
    agent_state<Discipline> state(ids.boot(), settings.serves, settings.limits,
                                  static_cast<std::int64_t>(settings.max_body_bytes));
    link_acceptor<Discipline> acceptor(settings.listen, state);
    stop_flag stop;
    auto workers = start_workers(settings, state);
    task accepting([&] { acceptor.run(); });
    task monitor;
    if (settings.kind == work_kind::completion)
    {
        monitor = task([&] {
            monitor_engine(state, engine_client(settings.backend, monitor_timeout), stop,
                           monitor_interval);
        });
    }
    log(log_level::info, "agent started", {.backend = settings.self.vm});

    wait_for_stop_signal();
    log(log_level::info, "agent draining");
    state.start_draining();
    acceptor.report_now();
    const bool finished = state.queue.wait_empty(steady::now() + settings.stop_grace);
    stop.wait_for(final_event_delay);
    log(finished ? log_level::info : log_level::warn,
        finished ? "agent stopped; all attempts finished"
                 : "agent stopped with unfinished attempts");
    stop.set();
    acceptor.stop();
    accepting.join();
    state.queue.stop();
    for (auto& it : workers)
    {
        it.join();
    }
    monitor.join();
    stop_logging();
    return finished ? 0 : 1;
}

} // namespace

int run_agent(const agent_settings& settings)
{
    if (settings.queue == queue_policy::fair)
    {
        return run_with<fair_queue>(settings);
    }
    return run_with<fifo_queue>(settings);
}

} // namespace pistachiopost
