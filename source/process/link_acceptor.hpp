/// \file
/// Accepts links from entries and starts one task for each.
#pragma once

#include "connection/entry_link.hpp"
#include "connection/unique_fd.hpp"
#include "process/task.hpp"

#include <poll.h>

#include <array>
#include <list>
#include <memory>
#include <utility>

namespace pistachiopost {

/// Owns the listening socket and the link tasks of an agent.
template <queue_discipline Discipline>
class link_acceptor
{
public:
    /// Listens on `where`. Throws connection_error.
    link_acceptor(const endpoint& where, agent_state<Discipline>& state)
        : state_(state), listener_(listen_tcp(where)), wake_event_(open_event_fd())
    {
    }

    /// Accepts links until stop(), then ends all links.
    void run()
    {
        while (!stopped_)
        {
            std::array<pollfd, 2> fds{
                {{listener_.get(), POLLIN, 0}, {wake_event_.get(), POLLIN, 0}}};
            ::poll(fds.data(), fds.size(), -1);
            clear_event_fd(wake_event_);
            while (auto sock = accept_tcp(listener_))
            {
                start_link(std::move(sock));
            }
            join_ended();
        }
        end_all();
    }

    /// Ends run(). Safe to call from any thread.
    void stop()
    {
        stopped_ = true;
        signal_event_fd(wake_event_);
    }

    /// Sends a load report to all entries. Safe to call from any thread.
    void report_now()
    {
        const std::lock_guard lock(mutex_);
        for (auto& it : links_)
        {
            it.link->schedule_report();
        }
    }

private:
    struct running_link
    {
        std::shared_ptr<entry_link<Discipline>> link;
        task thread;
        std::shared_ptr<std::atomic<bool>> ended;
    };

    void start_link(unique_fd sock)
    {
        auto link = std::make_shared<entry_link<Discipline>>(std::move(sock), state_);
        auto ended = std::make_shared<std::atomic<bool>>(false);
        task thread([this, link, ended] {
            link->run();
            *ended = true;
            signal_event_fd(wake_event_);
        });
        const std::lock_guard lock(mutex_);
        links_.push_back({std::move(link), std::move(thread), std::move(ended)});
    }

    void join_ended()
    {
        const std::lock_guard lock(mutex_);
        for (auto it = links_.begin(); it != links_.end();)
        {
            if (!*it->ended)
            {
                ++it;
                continue;
            }
            it->thread.join();
            it = links_.erase(it);
        }
    }

    void end_all()
    {
        const std::lock_guard lock(mutex_);
        for (auto& it : links_)
        {
            it.link->stop();
        }
        for (auto& it : links_)
        {
            it.thread.join();
        }
        links_.clear();
    }

    agent_state<Discipline>& state_;
    unique_fd listener_;
    unique_fd wake_event_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::list<running_link> links_;
};

} // namespace pistachiopost
