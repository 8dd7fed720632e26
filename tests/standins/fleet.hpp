/// \file
/// Starts and stops the processes of a complete deployment on loopback addresses.
#pragma once

#include "connection/unique_fd.hpp"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost::standins {

/// A deployment described by JSON: zones, entries, engines, services, and merge
/// patches for the settings of entries and agents. The addresses depend on the process
/// id, so that several runs can share a machine.
class fleet
{
public:
    /// `product` and `standins` are the paths of the programs; settings and logs are
    /// written to `work`.
    fleet(nlohmann::json description, std::filesystem::path product,
          std::filesystem::path standins, std::filesystem::path work);
    /// Kills all processes that are still running.
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts all processes and publishes the initial configuration and VM list.
    void start_all();
    /// Stops entries, then agents, with SIGTERM. Returns the names of those that did
    /// not exit with code 0.
    std::vector<std::string> stop_product();
    /// Starts or restarts a process with its existing settings.
    void start(const std::string& name);
    /// Sends a signal to a running process.
    void signal(const std::string& name, int number);
    /// Waits until a process exits. Returns its exit code, 128 after a signal.
    int wait_exit(const std::string& name);
    /// Reaps a process if it has exited. Returns whether it had.
    bool reap_if_exited(const std::string& name);
    /// Runs an operator command and appends its output to `output`. Returns its exit
    /// code.
    int run_operator_command(const std::vector<std::string>& words, std::string& output);
    /// Publishes the VM list with the VMs in `leaving` in state leaving.
    void publish_vms(const std::vector<std::string>& leaving);
    /// Publishes a new configuration version in which the given VMs are drained.
    void publish_configuration(const std::vector<std::string>& drained);

    /// Returns the endpoint of a process.
    [[nodiscard]] endpoint endpoint_of(const std::string& name) const;
    /// Returns the process names that start with `prefix`.
    [[nodiscard]] std::vector<std::string> names(std::string_view prefix) const;
    /// Returns the API keys, one per customer.
    [[nodiscard]] std::vector<std::string> keys() const;
    /// Returns the CPU seconds and resident kilobytes of a process.
    [[nodiscard]] std::pair<double, long> usage(const std::string& name) const;

private:
    struct process
    {
        std::vector<std::string> command;
        endpoint where;
        pid_t pid = 0;
    };

    void add(const std::string& name, std::vector<std::string> command, endpoint at);
    void add_standin(const std::string& name, std::string kind, endpoint at,
                     std::vector<std::string> flags);
    void add_role(const std::string& name, nlohmann::json settings, endpoint at);
    void add_agent(const std::string& name, std::size_t i, const std::string& backend,
                   bool engine);
    [[nodiscard]] endpoint address(int host) const;
    [[nodiscard]] std::string zone(std::size_t i) const;
    [[nodiscard]] nlohmann::json identity_settings(const std::string& name,
                                                   std::size_t i) const;
    [[nodiscard]] nlohmann::json
    configuration(const std::vector<std::string>& drained) const;

    nlohmann::json description_;
    std::filesystem::path product_;
    std::filesystem::path standins_;
    std::filesystem::path work_;
    std::map<std::string, process> processes_;
    nlohmann::json vms_ = nlohmann::json::array();
    std::uint64_t version_ = 0;
};

/// Gets JSON from an endpoint; null if the connection fails.
nlohmann::json get_json(const endpoint& where, std::string_view path);
/// Posts JSON to an endpoint; connection errors are ignored.
void post_json(const endpoint& where, std::string_view path, const nlohmann::json& body);

} // namespace pistachiopost::standins
