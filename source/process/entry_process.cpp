#include "process/entry_process.hpp"

#include "connection/caller_api.hpp"
#include "connection/table_client.hpp"
#include "connection/vm_list_client.hpp"
#include "process/entry_service.hpp"
#include "process/memory_budget.hpp"
#include "process/platform_watch.hpp"

namespace pistachiopost {

namespace {

constexpr milliseconds platform_timeout{1'000};

http_limits to_limits(const entry_settings& settings)
{
    http_limits it;
    it.max_connections = settings.max_connections;
    it.max_body_bytes = settings.max_body_bytes;
    return it;
}

refusal connection_limit_refusal()
{
    return {refusal_reason::too_many_connections, run_state::not_run,
            "this entry has no room for another connection; retry later or reuse "
            "connections",
            seconds{1}};
}

template <backend_choice Choice>
int run_with(const entry_settings& settings)
{
    entry_state state(settings, steady::now());
    agent_links links(state.directory, state.crashes);
    table_client table(settings.table_service, platform_timeout);
    claim_batcher<table_client> claims(table);
    entry_service<Choice, table_client> service(state, links, claims);
    http_server server(to_limits(settings), refusal_json(connection_limit_refusal()));
    const caller_api api(state, service, server);
    server.bind(settings.listen);
    stop_flag stop;
    task claiming([&] { claims.run(); });
    task configuration_watch([&] {
        watch_configuration(table_client(settings.table_service, platform_timeout), state,
                            stop);
    });
    task list_watch([&] {
        watch_vm_list(vm_list_client(settings.vm_list, platform_timeout), state, links,
                      stop);
    });
    task serving([&] { server.serve(); });
    log(log_level::info, "entry started");

    wait_for_stop_signal();
    log(log_level::info, "entry stopping; finishing requests in progress");
    state.stopping = true;
    stop.wait_for(settings.stop_delay);
    server.stop_serving();
    serving.join();
    stop.set();
    configuration_watch.join();
    list_watch.join();
    links.set_servers({});
    claims.stop();
    claiming.join();
    log(log_level::info, "entry stopped");
    stop_logging();
    return 0;
}

} // namespace

int run_entry(const entry_settings& settings)
{
    bound_allocator();
    switch (settings.choice)
    {
    case load_balancing_policy::two_choices:
        return run_with<two_choices>(settings);
    case load_balancing_policy::least_loaded:
        return run_with<least_loaded>(settings);
    case load_balancing_policy::round_robin:
        break;
    }
    return run_with<round_robin>(settings);
}

} // namespace pistachiopost
