/// \file
/// Entry side of the HTTP/2 link to one agent. Each link runs on its own task.
#pragma once

#include "connection/message_codec.hpp"
#include "process/backend_directory.hpp"
#include "process/crash_registry.hpp"
#include "request/event_queue.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace pistachiopost {

/// Maintains the link to one agent: connects, reconnects with exponential backoff,
/// and closes the link if the agent stops sending load reports.
class agent_link
{
public:
    /// Called for each crash record received from the agent.
    using crash_callback = std::function<void(const crash_record&)>;

    agent_link(backend_server server, backend_directory& directory,
               crash_callback on_crash);
    ~agent_link();
    agent_link(const agent_link&) = delete;
    agent_link& operator=(const agent_link&) = delete;

    /// Sends an attempt and delivers its events to `events`. If the link is down,
    /// the attempt fails with run state not_run. Thread-safe.
    void submit(attempt_order order, std::shared_ptr<const std::string> body,
                std::shared_ptr<event_queue> events);
    /// Cancels the attempt that delivers to `events`, if it is still open.
    /// Thread-safe.
    void cancel(const std::shared_ptr<event_queue>& events);
    /// Forwards a crash record to the agent. Thread-safe.
    void send_crash_record(const crash_record& record);

    /// Maintains the link until stop() is called.
    void run();
    /// Makes run() return. Thread-safe.
    void stop();
    [[nodiscard]] const backend_server& server() const { return server_; }

private:
    class agent_connection;

    bool serve_connection();
    bool end_connection();
    void wait_before_reconnect();
    std::shared_ptr<agent_connection> connection() const;

    backend_server server_;
    backend_directory& directory_;
    crash_callback on_crash_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::shared_ptr<agent_connection> connection_;
    std::uint32_t failures_ = 0;
    bool stopped_ = false;
};

} // namespace pistachiopost
