/// \file
/// All links of an entry to agents.
#pragma once

#include "connection/agent_link.hpp"
#include "process/backend_directory.hpp"
#include "process/task.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Starts and stops link tasks as the subset of servers changes, and spreads
/// crash records over all of them.
class agent_links
{
public:
    agent_links(backend_directory& directory, crash_registry& crashes);
    ~agent_links();
    agent_links(const agent_links&) = delete;
    agent_links& operator=(const agent_links&) = delete;

    /// Keeps links to exactly these servers from now on.
    void set_servers(std::span<const backend_server> wanted);
    /// Returns the link to `vm`, or null.
    [[nodiscard]] std::shared_ptr<agent_link> find(std::string_view vm) const;
    /// Adds a crash record to the board; tells all agents if it was new.
    void add_crash_record(const crash_record& record);

private:
    struct running_link
    {
        std::shared_ptr<agent_link> link;
        task thread;
    };

    backend_directory& directory_;
    crash_registry& crashes_;
    mutable std::mutex mutex_;
    std::map<std::string, running_link, std::less<>> links_;
};

} // namespace pistachiopost
