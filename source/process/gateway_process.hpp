/// \file
/// The gateway process, which serves callers on an entry VM of the platform.
#pragma once

#include "connection/gateway_connection.hpp"
#include "connection/peer_link.hpp"
#include "connection/relay_client.hpp"
#include "connection/relay_server.hpp"
#include "connection/status_server.hpp"
#include "process/cold_log.hpp"
#include "process/fleet_registration.hpp"
#include "process/platform_followers.hpp"
#include "process/relayed_store.hpp"
#include "process/settings_reloader.hpp"
#include "process/store_watch.hpp"
#include "process/task.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace pistachiopost {

/// Time for which changes to the list of backend servers are batched: when many start,
/// changes arrive one by one. A leaving backend server may still get work for two
/// seconds.
inline constexpr milliseconds backends_batch_delay{300};
/// Interval at which the number of known gateways is applied to the shares of each.
inline constexpr milliseconds fleet_size_interval{1'000};

/// Polling interval of the settings file, which may change without a signal.
inline constexpr milliseconds settings_poll_interval{1'000};

/// Serves an accepted connection in a separate task.
template <typename Codec>
void start_connection(gateway_state& state, unique_fd sock)
{
    if (state.connections >= state.max_connections)
    {
        state.metrics.increment("connections_refused");
        return; // closes the connection before any request was read
    }
    auto shared = std::make_shared<unique_fd>(std::move(sock));
    ++state.connections;
    try
    {
        task::start_detached(
            [&state, shared] {
                try
                {
                    serve_gateway_connection<Codec>(state, std::move(*shared));
                }
                catch (const std::exception& it) // e.g. std::bad_alloc
                {
                    log_event(log_level::error, "connection aborted by an exception",
                              {{"fault", it.what()}});
                }
                --state.connections;
            },
            task_stack_bytes);
    }
    catch (const std::system_error&)
    {
        --state.connections;
        throw;
    }
}

/// Accepts connections until the gateway drains; further ones are then refused and go to
/// other gateways.
template <typename Codec>
void accept_callers(gateway_state& state, unique_fd listener)
{
    accept_until(listener, state.stop_fd.get(), [&](unique_fd sock) {
        start_connection<Codec>(state, std::move(sock));
    });
}

/// Follows a table, directly or through a relay, until `stop`.
template <typename Store, typename Follower>
void follow_table(Store store, std::string_view table, watched_table id,
                  gateway_directory& directory, table_cache& cache, Follower& follower,
                  stop_flag& stop, milliseconds batch_delay = milliseconds{0})
{
    caching_follower<Follower> cached(follower, cache, directory, id);
    watch_table(
        relayed_store<Store, relay_client>(std::move(store), directory, id, cache), table,
        cached, stop, batch_delay);
}

/// Waits until the load balancer has noticed the stop, then accepts no new connections,
/// closes idle ones, refuses further requests and waits for those in progress. Calls that
/// do not finish are answered with an error before the process ends.
inline void drain(gateway_state& state, stop_flag& stop)
{
    // The balancer probes once per second and removes a VM after two failed probes.
    constexpr milliseconds balancer_notice_time{2'500};
    // Part of the grace period reserved for the exit of the process.
    constexpr milliseconds exit_reserve{500};
    // Part of the time before that in which queued requests are refused and answered.
    constexpr milliseconds refusal_time{500};
    // Part of that time in which callers of unfinished calls are answered.
    constexpr milliseconds last_answer_time{250};
    constexpr milliseconds poll_interval{50};
    const auto began = steady::now();
    const auto deadline = began + state.stop_grace.load() - exit_reserve;
    state.admission_ends_at = began + balancer_notice_time;
    state.answers_end_at = deadline - last_answer_time;
    state.stopping = true;
    stop.wait_for(balancer_notice_time);
    signal_event_fd(state.stop_fd);
    while (state.connections > 0 && steady::now() < deadline)
    {
        const auto now = steady::now();
        if (!state.queue_closed && now >= deadline - refusal_time)
        {
            state.close_queue();
        }
        if (now >= deadline - last_answer_time)
        {
            signal_event_fd(state.ending_fd);
        }
        stop.wait_for(poll_interval);
    }
}

/// Runs the gateway until a stop signal. `path` is the settings file, which is reloaded
/// when it changes. `Platform` provides the codec and the store client.
template <typename Platform>
int run_gateway(const gateway_settings& settings, const std::string& path)
{
    using codec = typename Platform::codec;
    using store = typename Platform::store;
    bound_allocator();
    gateway_state state(settings);
    auto callers = listen_tcp(settings.listen);
    const auto readiness = listen_tcp(settings.readiness);
    const auto metrics = listen_tcp(settings.metrics);
    const auto relayed = listen_tcp(settings.peers);
    auto& directory = state.directory;
    table_cache configuration_rows;
    table_cache backend_rows;
    peer_link peers(directory, state.dispatch, state.crashes, state.budgets);
    configuration_follower<codec> configurations(state);
    backend_follower<codec> backends(state);
    stop_flag stop;
    stop_flag draining; // never set; drain() only uses it for timed waits
    const auto end_fd = open_event_fd();

    task follow_configuration([&] {
        follow_table(store(settings.store), codec::operator_table,
                     watched_table::configuration, directory, configuration_rows,
                     configurations, stop);
    });
    task follow_backends([&] {
        follow_table(store(settings.store), codec::backends_table,
                     watched_table::backends, directory, backend_rows, backends, stop,
                     backends_batch_delay);
    });
    task follow_gateways([&] {
        fleet_registration registration(state, stop);
        registration.publish(store(settings.store));
        task keep_published([&] {
            while (!stop.wait_for(fleet_size_interval))
            {
                if (registration.may_be_lost())
                {
                    registration.publish_again(store(settings.store));
                }
            }
        });
        do
        {
            state.dispatch.set_cells(directory.has_cells());
            const auto now = steady::now();
            state.budgets.set_gateway_count(directory.size(), now);
            state.budgets.set_live_gateways(directory.live_in_cell(now), now);
            log_cold_changes(state, now);
            end_held_evacuations(state, now);
        } while (!stop.wait_for(fleet_size_interval));
        keep_published.join();
    });
    task serve_relayed([&] {
        serve_status(relayed, end_fd.get(), [&](const received_request& request) {
            return answer_relay_request(
                request.body, [&](std::string_view table) -> table_cache* {
                    return table == codec::operator_table   ? &configuration_rows
                           : table == codec::backends_table ? &backend_rows
                                                            : nullptr;
                });
        });
    });
    task send_load([&] { peers.run_sender(stop); });
    task receive_load([&] { peers.run_receiver(end_fd.get()); });
    task serve_readiness([&] {
        serve_status(readiness, end_fd.get(), [&state](const received_request&) {
            return status_response{state.ready() ? 200 : 503, "text/plain", ""};
        });
    });
    task serve_metrics([&] {
        serve_status(metrics, end_fd.get(), [&state](const received_request&) {
            const std::chrono::duration<double> unix_time =
                std::chrono::system_clock::now().time_since_epoch();
            const auto cold = state.dispatch.count_cold(steady::now());
            return status_response{
                200, "text/plain; version=0.0.4",
                state.metrics.text(
                    {state.settings.self.vm, unix_time.count(), state.routes.version(),
                     state.dispatch.waiting(), state.connections,
                     state.crashes.blocked_count(steady::now()),
                     state.dispatch.evacuated_zone_count(), cold.cold, cold.placements,
                     cold.withheld, state.directory.known_era(), state.memory.used()})};
        });
    });
    task serve_callers([&] { accept_callers<codec>(state, std::move(callers)); });
    log_event(log_level::warn, "gateway started",
              {{"address", to_string(settings.listen)}});

    settings_reloader reload(path, settings,
                             [&state](const auto& it) { state.apply(it); });
    wait_for_stop_signal([&reload](bool requested) { reload.poll(requested); },
                         settings_poll_interval);
    log_event(log_level::warn, "gateway is stopping; finishing requests in progress",
              {{"connections", static_cast<std::uint64_t>(state.connections)}});
    drain(state, draining);
    log_event(log_level::warn, "gateway stopped",
              {{"connections", static_cast<std::uint64_t>(state.connections)}});
    stop_logging();
    // Detached connection tasks and long polls of the store may still run. The process
    // has no state that must be saved, so it exits without joining them.
    std::quick_exit(0);
}

} // namespace pistachiopost
