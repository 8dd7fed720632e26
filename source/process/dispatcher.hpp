/// \file
/// Assigns the requests of this gateway to backend servers, with fair queueing among
/// customers.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/backend_registry.hpp"
#include "process/load_tracker.hpp"
#include "process/placement.hpp"
#include "process/placement_turns.hpp"
#include "process/slot_contention.hpp"

#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachiopost {

/// A request that waits for its placement. Owned by the task of the request.
class queued_request
{
public:
    /// wake() becomes readable once the request has its placement.
    queued_request(std::string_view customer, const placement_request& request,
                   time_point arrived, time_point target_deadline,
                   time_point urgent_from);

    [[nodiscard]] const unique_fd& wake() const { return wake_; }
    /// Returns whether it has its placement, which dequeue() returns.
    [[nodiscard]] bool is_placed() const { return place_.has_value(); }

private:
    friend class dispatcher;

    [[nodiscard]] steady::duration target() const { return target_deadline_ - arrived_; }

    std::string_view customer_;
    const placement_request* request_;
    time_point arrived_;
    time_point target_deadline_; ///< Latency target; later answers are late.
    time_point urgent_from_;     ///< From then on the caller may give up at any time.
    std::optional<placement> place_;
    unique_fd wake_;
};

/// State of the queue and of a service's backend servers, for the log.
struct queue_snapshot
{
    std::size_t waiting = 0;
    std::size_t backends = 0;  ///< Eligible backend servers.
    std::size_t healthy = 0;   ///< Eligible and healthy.
    std::size_t with_slot = 0; ///< Eligible and with a free slot.
    std::size_t gateways = 0;  ///< Live gateways, including this one.
    double least_backlog_ms = 0;
};

/// The dispatcher of a gateway. Thread-safe.
class dispatcher
{
public:
    /// `zone` and `name` are those of this gateway.
    explicit dispatcher(std::string zone, std::string_view name = {})
        : zone_(std::move(zone)), turns_(contention_hash(name))
    {
    }

    /// Places a request immediately if there is capacity and no comparable request is
    /// queued.
    std::optional<placement> try_place(std::string_view customer,
                                       const placement_request& request, time_point now);
    /// Adds a request to the queue; the caller must remove it with dequeue().
    void enqueue(queued_request& queued, time_point now);
    /// Removes a request from the queue; returns its placement if it got one.
    std::optional<placement> dequeue(queued_request& queued, time_point now);
    /// Records that the first event of this attempt has arrived.
    void prefill_done(const placement& place, time_point now);
    /// Releases a placement; prefill_done() must have been called for it.
    void release(const placement& place, time_point now);
    /// Returns the estimated queueing time of a new request, at least `least`.
    [[nodiscard]] milliseconds expected_wait(milliseconds least) const;
    /// Returns the number of queued requests.
    [[nodiscard]] std::size_t waiting() const;

    /// Modifies the registry under the lock, then serves the queue.
    template <typename Change>
    void update_registry(time_point now, const Change& change)
    {
        const std::lock_guard lock(mutex_);
        change(registry_);
        serve_queue(now);
    }
    /// Sets whether the fleet is divided into cells, and the number of live gateways of
    /// the cell, including this one.
    void set_cell(bool has_cells, std::size_t gateways);
    /// Applies the load report of a peer.
    void apply_report(const load_report_message& message, time_point now);
    /// Blocks until a change should be reported to peers immediately, at most `longest`.
    void wait_until_report_due(milliseconds longest);
    /// Makes the next wait_until_report_due() return immediately.
    void request_report();
    /// Returns the load of this gateway; the sender adds the other fields.
    [[nodiscard]] load_report_message report(time_point now);
    /// Returns the kinds of requests in the queue.
    [[nodiscard]] std::vector<waiting_work> waiting_kinds(time_point now);
    /// Returns the load of all gateways on the backend servers of this zone.
    [[nodiscard]] load_report_message digest(time_point now) const;
    /// Returns a number that changes with each placement, first event and release.
    /// Between changes peers derive the remaining prefill from the time that passes.
    [[nodiscard]] std::uint64_t load_generation() const;
    /// Returns the zones of the backend servers that this gateway puts load on.
    [[nodiscard]] std::set<std::string, std::less<>> zones_in_use(time_point now) const;
    /// Returns the state of the queue and of the backend servers of `service`.
    [[nodiscard]] queue_snapshot snapshot(std::string_view service, time_point now) const;

private:
    /// Candidates by service and availability zone, which is empty for all zones. Valid
    /// until a load or the registry changes.
    using candidate_cache = std::map<std::pair<std::string_view, std::string_view>,
                                     std::vector<placement_candidate>>;

    /// Returns the candidates for a request, without what rivals may take first.
    std::vector<placement_candidate> candidates_for(const placement_request& request,
                                                    std::string_view zone,
                                                    candidate_cache& cache,
                                                    time_point now);
    /// Returns whether a queued long prompt claims the engines of its service now.
    bool claims_engines(const queued_request& queued, candidate_cache& cache,
                        time_point now);
    std::vector<waiting_work> list_waiting(time_point now);
    /// Returns the zone whose backend servers this gateway uses first, empty for all.
    [[nodiscard]] std::string_view own_zones() const;
    std::optional<placement> find_placement(const placement_request& request,
                                            steady::duration waited, bool claims,
                                            candidate_cache& cache, time_point now);
    void charge(std::string_view customer, const placement& place, time_point now);
    void serve_queue(time_point now);
    [[nodiscard]] double served_cost(std::string_view customer) const;
    [[nodiscard]] double min_served_cost() const;

    mutable std::mutex mutex_;
    std::condition_variable report_due_changed_;
    bool report_due_ = false; ///< A change should be reported to peers immediately.
    std::uint64_t load_generation_ = 0;
    bool has_cells_ = false;
    std::size_t cell_gateways_ = 1; ///< Live gateways of the cell.
    std::string zone_;
    placement_turns turns_;
    backend_registry registry_;
    load_tracker loads_;
    std::list<queued_request*> queue_;
    std::map<std::string, double, std::less<>> served_cost_; ///< Engine ms by customer.
    std::multiset<double> served_levels_; ///< All values of served_cost_.
};

} // namespace pistachiopost
