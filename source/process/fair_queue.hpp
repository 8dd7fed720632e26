/// \file
/// Weighted fair queueing between customers, in tokens of work.
///
/// Each customer has a counter of served work divided by its weight. The waiting
/// customer with the lowest counter is served next. A customer that was idle resumes
/// at the lowest counter of the waiting customers, so that idle time earns no credit
/// and a share used by others returns at once. When the queue is empty, all counters
/// are reset. Each customer has one queue per length class, so that its long prompts
/// never delay its short ones. Shorter prompts go first, but prompts over 4,000 tokens
/// only up to a bounded lead over customers with longer prompts waiting.
#pragma once

#include "process/arrival_meter.hpp"
#include "process/dispatch_window.hpp"
#include "process/finish_estimate.hpp"
#include "process/queue_ticket.hpp"

#include <array>
#include <deque>
#include <map>
#include <unordered_map>

namespace pistachiopost {

/// Weighted fair queue discipline. Its state grows with the customers that wait or
/// are ahead of the others, not with all customers.
class fair_queue
{
public:
    explicit fair_queue(const dispatch_limits& limits);

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
    /// Removes and returns waiting attempts that can no longer meet their deadline.
    std::vector<ticket_id> expired(time_point now);
    /// Returns the earliest expiry of a waiting attempt.
    [[nodiscard]] std::optional<time_point> next_expiry(time_point now) const;

    /// Returns the work ahead of an attempt of a new customer.
    [[nodiscard]] work_ahead ahead_of_new_customer(length_class prompt_class,
                                                   time_point now) const;
    /// Returns the number of waiting attempts.
    [[nodiscard]] std::size_t queued() const { return queued_; }
    /// Returns the number of customers with state in the queue.
    [[nodiscard]] std::size_t customers() const { return customers_.size(); }
    /// Returns the window that tracks running attempts.
    [[nodiscard]] const dispatch_window& window() const { return window_; }
    dispatch_window& window() { return window_; }

private:
    struct customer_state
    {
        double served = 0; ///< Work served, divided by the weight.
        std::uint32_t weight = 1;
        std::size_t waiting = 0;
        std::array<std::deque<queue_ticket>, length_class_count> queues;
        std::array<std::uint64_t, length_class_count> queued_tokens{};
    };
    using customer_map = std::map<std::string, customer_state, std::less<>>;

    [[nodiscard]] work_ahead ahead_of(const queue_ticket& ticket, time_point now) const;
    [[nodiscard]] double lowest_counter() const;
    [[nodiscard]] time_point latest_start(const queue_ticket& ticket,
                                          time_point now) const;
    [[nodiscard]] double busy_share(const queue_ticket& ticket, time_point now) const;
    [[nodiscard]] bool must_yield(const customer_state& customer,
                                  std::size_t class_index) const;
    [[nodiscard]] const customer_state* find_customer(std::string_view name) const;
    static std::uint64_t queued_up_to(const customer_state& it, std::size_t class_index);
    static std::uint32_t attempts_up_to(const customer_state& it,
                                        std::size_t class_index);
    static std::uint64_t tokens_until(const customer_state& it, double counter);
    [[nodiscard]] std::uint64_t starvation_reserve(time_point now) const;
    customer_map::iterator next_customer(std::size_t class_index, std::uint64_t reserve);
    void remove_front(customer_map::iterator customer, std::size_t class_index);
    void prune_idle_customers();

    dispatch_window window_;
    arrival_meter arrivals_;
    customer_map customers_;
    std::unordered_map<ticket_id, std::string> customer_of_; ///< Of waiting attempts.
    double virtual_time_ = 0; ///< Highest counter at which a customer was served.
    std::size_t queued_ = 0;
};

static_assert(queue_discipline<fair_queue>);

} // namespace pistachiopost
