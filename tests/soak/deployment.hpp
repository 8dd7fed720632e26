/// \file
/// Gateways as real processes, between callers and stand-ins, with proxies on each link.
#pragma once

#include "connection/http_client.hpp"
#include "soak/proxy.hpp"
#include "soak/store.hpp"
#include "soak/worker.hpp"

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace pistachiopost::soak {

/// How many of each there are.
struct deployment_size
{
    std::size_t gateways = 3;
    std::size_t engines = 5;
    std::size_t services = 3;
};

/// One gateway process.
struct gateway_process
{
    endpoint callers;
    std::filesystem::path settings;
    std::unique_ptr<proxy> to_store; ///< Its own link to the store.
    pid_t pid = 0;                   ///< 0: not running.
};

/// A backend server behind its proxy.
struct placed_worker
{
    std::unique_ptr<worker> server;
    std::unique_ptr<proxy> link;
    std::string service;
};

/// The whole deployment. Ends only the processes that it started.
class deployment
{
public:
    /// Settings and logs go to `work`; addresses of 127.0.0.0/8 follow from `seed` and
    /// the process, so that runs beside each other do not meet.
    deployment(std::filesystem::path product, std::filesystem::path work,
               const deployment_size& size, std::uint64_t seed);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    void start(std::size_t gateway);
    void signal(std::size_t gateway, int number) const;
    /// Writes other settings and says so with SIGHUP.
    void change_settings(std::size_t gateway);
    /// Waits for the end of a gateway; returns its exit code, or -1 if a signal ended it.
    int wait_end(std::size_t gateway);
    /// Returns whether a gateway ended by itself.
    bool ended(std::size_t gateway);
    /// Returns whether a gateway says that it is ready, within `patience`.
    [[nodiscard]] bool wait_ready(std::size_t gateway, milliseconds patience) const;
    /// Writes the next configuration version; `extra` adds routes.
    void configure(std::size_t extra);
    /// Writes the row of a backend server.
    void list(std::size_t which, bool leaving);
    /// Removes the row of a backend server.
    void unlist(std::size_t which);

    [[nodiscard]] std::vector<endpoint> callers_addresses() const;

    run_record record;
    store table;
    std::vector<placed_worker> workers; ///< Engines first.
    std::vector<gateway_process> gateways;

private:
    void write_settings(std::size_t gateway) const;

    std::filesystem::path product_;
    std::filesystem::path work_;
    deployment_size size_;
    std::string network_;       ///< First three numbers of the gateways' addresses.
    std::uint64_t version_ = 0; ///< Of the configuration.
    std::size_t settings_changes_ = 0;
};

} // namespace pistachiopost::soak
