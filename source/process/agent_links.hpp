/// \file
/// Links from one entry to the agents of its backend servers.
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

/// Starts and stops one link task per server as the entry's subset changes, and
/// broadcasts crash records over all links.
class agent_links
{
public:
    agent_links(backend_directory& directory, crash_registry& crashes);
    ~agent_links();
    agent_links(const agent_links&) = delete;
    agent_links& operator=(const agent_links&) = delete;

    /// Stops links to servers not in `wanted`, waits for them, and starts missing ones.
    void set_servers(std::span<const backend_server> wanted);
    /// Returns the link to `vm`, or null if there is none.
    [[nodiscard]] std::shared_ptr<agent_link> find(std::string_view vm) const;
    /// Adds a record to the crash registry and, if it was new, sends it to all agents.
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
