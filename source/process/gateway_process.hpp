/// \file
/// The gateway: serves callers on an entry VM of the platform.
#pragma once

#include "connection/gateway_connection.hpp"
#include "connection/peer_link.hpp"
#include "connection/status_server.hpp"
#include "process/platform_followers.hpp"
#include "process/settings_reload.hpp"
#include "process/store_watch.hpp"
#include "process/task.hpp"

#include <chrono>
#include <memory>

namespace pistachiopost {

/// Table in which each gateway says where the others reach it.
inline constexpr std::string_view gateways_table = "pistachiopost-gateways";

/// Time in which changes of the list of backend servers are gathered: they come one by
/// one when many start, and a leaving one may get work for two seconds.
inline constexpr milliseconds backends_settle{300};
/// The same for the gateways' own table, which nothing hurries.
inline constexpr milliseconds gateways_settle{1'000};

/// Time between looks at the settings file, which may change without a signal.
inline constexpr milliseconds settings_look{1'000};

/// Serves one accepted connection on a task of its own.
template <typename Codec>
void start_connection(gateway_state& state, unique_fd sock)
{
    if (state.connections >= state.max_connections)
    {
        state.metrics.count("connections_refused");
        return; // closed without having read a request
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
                catch (const std::exception& it) // for instance out of memory
                {
                    log_event(log_level::error, "connection given up",
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

/// Accepts callers until the gateway takes nothing new; further connections are then
/// refused and go to other gateways.
template <typename Codec>
void accept_callers(gateway_state& state, unique_fd listener)
{
    accept_until(listener, state.stop_fd.get(), [&](unique_fd sock) {
        start_connection<Codec>(state, std::move(sock));
    });
}

/// Writes the row of this gateway until that succeeds or the process stops.
template <typename Store>
void announce(Store store, const gateway_settings& settings, stop_flag& stop)
{
    call_pause pause;
    do
    {
        try
        {
            store.write_row(gateways_table, settings.self.vm, to_string(settings.peers));
            log_event(log_level::info, "announced to the other gateways",
                      {{"address", to_string(settings.peers)}});
            return;
        }
        catch (const store_error& it)
        {
            log_event(log_level::warn, "not yet announced to the other gateways",
                      {{"fault", it.what()}});
        }
    } while (!stop.wait_for(pause.next()));
}

/// Lets the balancer notice, then takes nothing new, closes idle connections and finishes
/// what is under way.
inline void drain(gateway_state& state, stop_flag& stop)
{
    // The balancer asks once a second and takes a VM out after two misses.
    constexpr milliseconds notice_time{2'500};
    // Left of the grace for the end of the process itself.
    constexpr milliseconds reserve{500};
    constexpr milliseconds look_interval{50};
    const auto until = steady::now() + state.stop_grace.load() - reserve;
    state.stopping = true;
    stop.wait_for(notice_time);
    signal_event_fd(state.stop_fd);
    while (state.connections > 0 && steady::now() < until)
    {
        stop.wait_for(look_interval);
    }
}

/// Runs until a stop signal. `path` holds the settings, which may change meanwhile.
/// `Platform` names the codec and the client of the store.
template <typename Platform>
int run_gateway(const gateway_settings& settings, const std::string& path)
{
    using codec = typename Platform::codec;
    using store = typename Platform::store;
    gateway_state state(settings);
    auto callers = listen_tcp(settings.listen);
    const auto readiness = listen_tcp(settings.readiness);
    const auto metrics = listen_tcp(settings.metrics);
    peer_link peers(settings.self.vm, settings.peers, state.work, state.crashes);
    configuration_follower<codec> configurations(state);
    backend_follower<codec> backends(state);
    peer_follower gateways(settings.self.vm, [&](const auto& it) {
        peers.set_peers(it);
        state.budgets.share_among(it.size() + 1);
    });
    stop_flag stop;
    stop_flag draining; // never set: drain() only waits on it
    const auto end_fd = open_event_fd();

    task follow_configuration([&] {
        watch_table(store(settings.store), codec::operator_table, configurations, stop);
    });
    task follow_backends([&] {
        watch_table(store(settings.store), codec::backends_table, backends, stop,
                    backends_settle);
    });
    task follow_gateways([&] {
        announce(store(settings.store), settings, stop);
        watch_table(store(settings.store), gateways_table, gateways, stop,
                    gateways_settle);
    });
    task send_load([&] { peers.run_sender(stop); });
    task hear_load([&] { peers.run_receiver(end_fd.get()); });
    task serve_ready([&] {
        serve_status(readiness, end_fd.get(), [&state] {
            return status_answer{state.ready() ? 200 : 503, "text/plain", ""};
        });
    });
    task serve_metrics([&] {
        serve_status(metrics, end_fd.get(), [&state] {
            const std::chrono::duration<double> unix_time =
                std::chrono::system_clock::now().time_since_epoch();
            return status_answer{
                200, "text/plain; version=0.0.4",
                state.metrics.text({state.settings.self.vm, unix_time.count(),
                                    state.routes.version(), state.work.waiting(),
                                    state.connections})};
        });
    });
    task serve_callers([&] { accept_callers<codec>(state, std::move(callers)); });
    log_event(log_level::warn, "gateway started",
              {{"address", to_string(settings.listen)}});

    settings_reload reload(path, settings, [&state](const auto& it) { state.apply(it); });
    wait_for_stop_signal([&reload](bool asked) { reload.look(asked); }, settings_look);
    log_event(log_level::warn, "gateway is stopping; requests under way finish",
              {{"connections", static_cast<std::uint64_t>(state.connections)}});
    drain(state, draining);
    log_event(log_level::warn, "gateway stopped",
              {{"connections", static_cast<std::uint64_t>(state.connections)}});
    stop_logging();
    // Detached connection tasks and long polls of the store may still run; the process
    // holds nothing that must be saved.
    std::quick_exit(0);
}

} // namespace pistachiopost
