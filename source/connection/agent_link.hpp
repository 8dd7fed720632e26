/// \file
/// An entry's side of the link to one agent. One task for each link.
#pragma once

#include "connection/message_codec.hpp"
#include "process/backend_directory.hpp"
#include "process/crash_board.hpp"
#include "request/event_queue.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace pistachiopost {

/// Keeps a link to one agent: connects, reconnects after a delay, and closes a
/// link whose agent has fallen silent.
class agent_link
{
public:
    /// Called with each crash record that an agent reports.
    using crash_callback = std::function<void(const crash_record&)>;

    agent_link(backend_server server, backend_directory& directory,
               crash_callback on_crash);
    ~agent_link();
    agent_link(const agent_link&) = delete;
    agent_link& operator=(const agent_link&) = delete;

    /// Sends an attempt. Its events go to `events`; if the link is down, that is
    /// a failure marked not run. Safe to call from any thread.
    void submit(attempt_order order, std::shared_ptr<const std::string> body,
                std::shared_ptr<event_queue> events);
    /// Cancels an attempt that has not ended. Safe to call from any thread.
    void cancel(const std::shared_ptr<event_queue>& events);
    /// Passes a crash record to the agent. Safe to call from any thread.
    void tell_crash(const crash_record& record);

    /// Keeps the link until stop().
    void run();
    /// Ends run(). Safe to call from any thread.
    void stop();
    /// Returns the agent's server.
    [[nodiscard]] const backend_server& server() const { return server_; }

private:
    class live_link;

    bool serve_once();
    bool end_connection();
    void wait_before_retry();
    std::shared_ptr<live_link> live() const;

    backend_server server_;
    backend_directory& directory_;
    crash_callback on_crash_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::shared_ptr<live_link> live_;
    std::uint32_t failures_ = 0;
    bool stopped_ = false;
};

} // namespace pistachiopost
