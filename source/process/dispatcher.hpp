/// \file
/// Gives places at backend servers to the requests of this gateway, in fair turns.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/backend_registry.hpp"
#include "process/load_tracker.hpp"
#include "process/placement.hpp"

#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiopost {

/// A request that waits for a place. Lives on the stack of its task.
class queued_request
{
public:
    /// `wake` becomes readable once the request has its place.
    queued_request(std::string_view customer, const placement_request& request,
                   time_point arrived, time_point target_deadline,
                   time_point urgent_from);

    [[nodiscard]] const unique_fd& wake() const { return wake_; }

private:
    friend class dispatcher;

    [[nodiscard]] steady::duration target() const { return target_deadline_ - arrived_; }

    std::string_view customer_;
    const placement_request* request_;
    time_point arrived_;
    time_point target_deadline_; ///< Answers after this are late.
    time_point urgent_from_;     ///< From then on the caller may give up any moment.
    std::optional<placement> place_;
    unique_fd wake_;
};

/// What the line for a service looks like, for the log.
struct queue_snapshot
{
    std::size_t waiting = 0;
    std::size_t backends = 0;  ///< That may get work.
    std::size_t healthy = 0;   ///< Those of them that answered last.
    std::size_t with_slot = 0; ///< Those of them that run fewer requests than they can.
    std::size_t gateways = 0;  ///< Heard lately, this one included.
    double least_backlog_ms = 0;
};

/// The dispatcher of a gateway. Thread-safe.
class dispatcher
{
public:
    explicit dispatcher(std::string zone) : zone_(std::move(zone)) {}

    /// Gives a place at once if there is one and nobody waits for it.
    std::optional<placement> try_place(std::string_view customer,
                                       const placement_request& request, time_point now);
    /// Puts a request into the line. Undo with leave().
    void enqueue(queued_request& queued, time_point now);
    /// Takes a request out of the line; returns its place if it got one.
    std::optional<placement> dequeue(queued_request& queued, time_point now);
    /// Says that the first event of this attempt was seen.
    void prefill_done(const placement& place, time_point now);
    /// Gives a place back; reading_done() must have been called.
    void release(const placement& place, time_point now);
    /// Returns when a new request would get a place, by the work that waits; at least
    /// `least`.
    [[nodiscard]] milliseconds expected_wait(milliseconds least) const;
    /// Returns the number of requests that wait.
    [[nodiscard]] std::size_t waiting() const;

    /// Changes the roster under the lock, then serves the line.
    template <typename Change>
    void update_registry(time_point now, const Change& change)
    {
        const std::lock_guard lock(mutex_);
        change(registry_);
        serve_queue(now);
    }
    /// Takes over what a peer has in flight.
    void apply_report(const load_report_message& message, time_point now);
    /// Waits until peers should hear at once what changed here, at most `longest`.
    void wait_until_report_due(milliseconds longest);
    /// Returns what this gateway tells its peers; names and counts are left empty.
    [[nodiscard]] load_report_message report(time_point now) const;
    /// Returns what the line for `service` looks like.
    [[nodiscard]] queue_snapshot snapshot(std::string_view service, time_point now) const;

private:
    std::optional<placement> find_placement(const placement_request& request,
                                            time_point now);
    void charge(std::string_view customer, const placement& place, time_point now);
    void serve_queue(time_point now);
    [[nodiscard]] double served_cost(std::string_view customer) const;
    [[nodiscard]] double min_served_cost() const;

    mutable std::mutex mutex_;
    std::condition_variable report_due_changed_;
    bool report_due_ = false; ///< Peers should hear at once.
    std::string zone_;
    backend_registry registry_;
    load_tracker loads_;
    std::list<queued_request*> queue_;
    std::map<std::string, double, std::less<>> served_cost_; ///< Engine time by customer.
};

} // namespace pistachiopost
