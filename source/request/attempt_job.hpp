/// \file
/// State of an attempt in an agent, from the entry's order to the last event.
#pragma once

#include "process/queue_ticket.hpp"
#include "request/attempt.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace pistachiopost {

/// Receives the events of an attempt. Safe to call from any thread.
using event_sink = std::function<void(attempt_event)>;

/// One attempt: its order, its body and the sink for its events.
class attempt_job
{
public:
    /// `id` is unique within the agent's process.
    attempt_job(ticket_id id, attempt_order order,
                std::shared_ptr<const std::string> body, event_sink sink, time_point now);

    [[nodiscard]] const attempt_order& order() const { return order_; }
    [[nodiscard]] const std::string& body() const { return *body_; }
    [[nodiscard]] ticket_id id() const { return id_; }
    [[nodiscard]] time_point deadline() const { return deadline_; }
    /// Returns the properties by which the queue schedules the attempt.
    [[nodiscard]] queue_ticket ticket() const;

    /// Sends an event to the entry unless the attempt was cancelled.
    void send(attempt_event event);
    /// Cancels the attempt and interrupts its blocking call, if one is set.
    void cancel();
    [[nodiscard]] bool cancelled() const;
    /// Waits until cancel() is called or the deadline has passed.
    void wait_until_cancelled();
    /// Sets the function by which cancel() interrupts a blocking call; empty clears it.
    /// Calls it at once if the attempt is already cancelled.
    void set_interrupt(std::function<void()> interrupt);

private:
    ticket_id id_;
    attempt_order order_;
    std::shared_ptr<const std::string> body_;
    event_sink sink_;
    time_point deadline_;
    mutable std::mutex mutex_;
    std::condition_variable cancelled_changed_;
    std::function<void()> interrupt_;
    bool cancelled_ = false;
};

/// Returns the queue entry of an attempt that arrived at `now`.
queue_ticket make_ticket(ticket_id id, const attempt_order& order, time_point now);

} // namespace pistachiopost
