/// \file
/// Starts and stops the processes of a whole system on loopback addresses.
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

/// A fleet described by JSON: zones, entries, engines, services, and patches to
/// the settings of entries and agents. Every fleet has addresses of its own.
class fleet
{
public:
    /// `programs` is the folder with the programs; settings and logs go to `work`.
    fleet(nlohmann::json description, std::filesystem::path product,
          std::filesystem::path standins, std::filesystem::path work);
    /// Kills every process that is left.
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts everything and publishes the first configuration and VM list.
    void start_all();
    /// Stops entries, then agents, gracefully; returns the names of those that
    /// ended with another exit code than 0.
    std::vector<std::string> stop_product();
    /// Starts a process again with its old settings.
    void start(const std::string& name);
    /// Sends a signal.
    void signal(const std::string& name, int number);
    /// Waits for the end of a process; returns its exit code.
    int wait_exit(const std::string& name);
    /// Returns whether a process started here has ended by itself; if so it is gone.
    bool has_died(const std::string& name);
    /// Runs an operator's command; returns its exit code and puts its output into
    /// `output`.
    int run_operator(const std::vector<std::string>& words, std::string& output);
    /// Publishes the VM list; VMs in `leaving` are marked so.
    void publish_vms(const std::vector<std::string>& leaving);
    /// Confirms a new configuration version with these drained VMs.
    void configure(const std::vector<std::string>& drained);

    /// Returns the address of a process.
    [[nodiscard]] endpoint where(const std::string& name) const;
    /// Returns the names of processes that start with `prefix`.
    [[nodiscard]] std::vector<std::string> names(std::string_view prefix) const;
    /// Returns the bearer keys, one for each customer.
    [[nodiscard]] std::vector<std::string> keys() const;
    /// Returns processor seconds, resident kilobytes of a process.
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
    [[nodiscard]] nlohmann::json identity(const std::string& name, std::size_t i) const;
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

/// Reads JSON from a stand-in; null if it does not answer.
nlohmann::json ask(const endpoint& where, std::string_view path);
/// Sends JSON to a stand-in, whether or not it answers.
void tell(const endpoint& where, std::string_view path, const nlohmann::json& body);

} // namespace pistachiopost::standins
