/// \file
/// First-in, first-out queue: the baseline for benchmarks.
#pragma once

#include "process/dispatch_window.hpp"
#include "process/finish_estimate.hpp"
#include "process/queue_ticket.hpp"

#include <deque>

namespace pistachiopost {

/// Serves attempts in arrival order, limited by slots and memory only.
class fifo_queue
{
public:
    explicit fifo_queue(const dispatch_limits& limits);

    /// Returns a refusal if the attempt cannot be queued.
    [[nodiscard]] std::optional<refusal> check_admission(const queue_ticket& ticket,
                                                         time_point now) const;
    /// Queues an attempt.
    void push(const queue_ticket& ticket, time_point now);
    /// Removes and returns the next attempt that may start, and marks it as running.
    std::optional<ticket_id> take(time_point now);
    /// Records the first token of a running attempt.
    void on_first_token(ticket_id id, time_point now) { window_.on_first_token(id, now); }
    /// Records the end of a running attempt.
    void on_finished(ticket_id id, time_point now) { window_.on_finished(id, now); }
    /// Removes a waiting attempt; returns false if it was not waiting.
    bool erase(ticket_id id);
    /// Removes and returns waiting attempts whose deadline has passed.
    std::vector<ticket_id> expired(time_point now);
    /// Returns the earliest expiry of a waiting attempt.
    [[nodiscard]] std::optional<time_point> next_expiry(time_point now) const;

    /// Returns the work ahead of a new attempt; the same for every class.
    [[nodiscard]] work_ahead ahead_of_new_customer(length_class prompt_class,
                                                   time_point now) const;
    /// Returns the number of waiting attempts.
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    /// Returns the window that tracks running attempts.
    [[nodiscard]] const dispatch_window& window() const { return window_; }
    dispatch_window& window() { return window_; }

private:
    dispatch_window window_;
    std::deque<queue_ticket> queue_;
};

static_assert(queue_discipline<fifo_queue>);

} // namespace pistachiopost
