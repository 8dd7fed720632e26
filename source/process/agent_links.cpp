#include "process/agent_links.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace pistachiopost {

agent_links::agent_links(backend_directory& directory, crash_registry& crashes)
    : directory_(directory), crashes_(crashes)
{
}

agent_links::~agent_links()
{
    set_servers({});
}

void agent_links::set_servers(std::span<const backend_server> wanted)
{
    std::vector<running_link> ended;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = links_.begin(); it != links_.end();)
        {
            const auto keep =
                std::find_if(wanted.begin(), wanted.end(), [&](const auto& server) {
                    return server.vm == it->first &&
                           server.agent == it->second.link->server().agent;
                });
            if (keep != wanted.end())
            {
                ++it;
                continue;
            }
            it->second.link->stop();
            ended.push_back(std::move(it->second));
            it = links_.erase(it);
        }
        for (const auto& server : wanted)
        {
            if (links_.contains(server.vm))
            {
                continue;
            }
            auto link = std::make_shared<agent_link>(
                server, directory_,
                [this](const crash_record& it) { add_crash_record(it); });
            task thread([link] { link->run(); });
            links_.emplace(server.vm, running_link{std::move(link), std::move(thread)});
        }
    }
    for (auto& it : ended)
    {
        it.thread.join();
    }
}

std::shared_ptr<agent_link> agent_links::find(std::string_view vm) const
{
    const std::lock_guard lock(mutex_);
    const auto it = links_.find(vm);
    return it == links_.end() ? nullptr : it->second.link;
}

void agent_links::add_crash_record(const crash_record& record)
{
    if (!crashes_.add(record, steady::now()))
    {
        return;
    }
    const std::lock_guard lock(mutex_);
    for (const auto& [vm, it] : links_)
    {
        it.link->send_crash_record(record);
    }
}

} // namespace pistachiopost
