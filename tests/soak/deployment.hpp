/// \file
/// Gateway processes between callers and in-process stubs, with a proxy before each stub.
#pragma once

#include "connection/http_client.hpp"
#include "soak/backend_stub.hpp"
#include "soak/proxy.hpp"
#include "soak/store_stub.hpp"

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace pistachiopost::soak {

/// Zones over which gateways and backend servers are spread.
inline constexpr std::size_t zone_count = 3;

/// Number of processes and stubs.
struct deployment_size
{
    std::size_t gateways = 3;
    std::size_t engines = 5;
    std::size_t services = 3;
    bool cold_starts = false; ///< The configuration states cold starts of all services.
    std::uint64_t memory_mb = 256; ///< Of each gateway; the default of the settings.
};

/// One gateway process.
struct gateway_process
{
    endpoint caller_endpoint;
    std::filesystem::path settings;
    std::unique_ptr<proxy> store_link; ///< Used by this gateway only.
    pid_t pid = 0;                     ///< 0 if not running.
};

/// A backend server stub behind its own proxy.
struct proxied_backend
{
    std::unique_ptr<backend_stub> server;
    std::unique_ptr<proxy> link;
    std::string service;
    std::int64_t start_time_ms = 1; ///< Of the incarnation in the store's row.
};

/// All gateways, the store and the backend servers. Ends only the processes it started.
class deployment
{
public:
    /// Writes settings and logs to `work`. The addresses in 127.0.0.0/8 are derived from
    /// `seed` and the process id, so that concurrent runs do not collide.
    deployment(std::filesystem::path product, std::filesystem::path work,
               const deployment_size& size, std::uint64_t seed);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    void start(std::size_t gateway);
    void send_signal(std::size_t gateway, int number) const;
    /// Writes changed settings and requests a reload with SIGHUP.
    void change_settings(std::size_t gateway);
    /// Waits until a gateway exits; returns its exit code, or -1 if a signal ended it.
    int wait_exit(std::size_t gateway);
    /// Returns whether a gateway exited on its own, and reaps it.
    bool reap_if_exited(std::size_t gateway);
    /// Returns whether a gateway reports readiness within `timeout`.
    [[nodiscard]] bool wait_ready(std::size_t gateway, milliseconds timeout) const;
    /// Publishes the next configuration version with `extra` additional routes, and one
    /// that only this version has. Returns the path prefix of that one.
    std::string configure(std::size_t extra);
    /// Writes the store row of a backend server.
    void put_row(std::size_t which, bool leaving, milliseconds cold = milliseconds{0});
    /// Removes the store row of a backend server.
    void remove_row(std::size_t which);

    /// Evacuates zone `number`; returns the ids of its backend servers.
    std::vector<std::string> evacuate(std::size_t number);
    /// Returns zone `number` to service.
    void restore(std::size_t number);

    [[nodiscard]] std::vector<endpoint> caller_endpoints() const;

    run_record record;
    store_stub store;
    std::vector<proxied_backend> backends; ///< Engines first, then plain services.
    std::vector<gateway_process> gateways;

private:
    void write_settings(std::size_t gateway) const;

    std::filesystem::path product_;
    std::filesystem::path work_;
    deployment_size size_;
    std::string address_prefix_; ///< First three octets of the gateways' addresses.
    std::uint64_t version_ = 0;  ///< Of the configuration.
    std::size_t settings_changes_ = 0;
};

} // namespace pistachiopost::soak
