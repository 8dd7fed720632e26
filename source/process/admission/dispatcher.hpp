/// \file
/// Assigns the requests of this gateway to backend servers, with fair queueing among
/// customers.
#pragma once

#include "process/admission/cold_admission.hpp"
#include "process/admission/customer_costs.hpp"
#include "process/admission/queued_request.hpp"
#include "process/membership/backend_registry.hpp"
#include "process/placement/load_tracker.hpp"
#include "process/placement/placement.hpp"
#include "process/placement/slot_contention.hpp"

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

/// State of the queue and of a service's backend servers, for the log.
struct queue_snapshot
{
    std::size_t waiting = 0;
    std::size_t backends = 0;  ///< Eligible backend servers.
    std::size_t healthy = 0;   ///< Eligible and healthy.
    std::size_t with_slot = 0; ///< Eligible and with a free slot.
    std::size_t cold = 0;      ///< Eligible and cold.
    std::size_t gateways = 0;  ///< Live gateways, including this one.
    double least_backlog_ms = 0;
};

/// Regions by availability zone.
using zone_regions = std::map<std::string, std::string, std::less<>>;

/// Why none of the backend servers of a service may serve a request, if so.
struct service_exclusion
{
    bool outside_regions = false; ///< None is in a region that the request allows.
    /// The zones of the others, all of which are evacuated.
    std::vector<std::string> evacuated_zones;

    explicit operator bool() const { return outside_regions || !evacuated_zones.empty(); }
    bool operator==(const service_exclusion&) const = default;
};

/// The dispatcher of a gateway. Thread-safe.
class dispatcher
{
public:
    /// `zone` and `name` are those of this gateway, `started` is the start of its
    /// process.
    explicit dispatcher(std::string zone, std::string_view name = {},
                        time_point started = {}, zone_regions regions = {})
        : zone_(std::move(zone)), self_(contention_hash(name)),
          regions_(std::move(regions)), cold_(name, started)
    {
    }

    /// Places a request immediately if there is capacity and no comparable request is
    /// queued.
    std::optional<placement> try_place(std::string_view customer,
                                       const placement_request& request, time_point now);
    /// Adds a request to the queue; the caller must remove it with dequeue().
    void enqueue(queued_request& queued, time_point now);
    /// Returns the time at which serve() is due even if nothing wakes the request.
    [[nodiscard]] time_point recheck_time(const queued_request& queued) const;
    /// Handles the wake or the recheck time of a request; returns whether it has its
    /// placement.
    bool serve(queued_request& queued, time_point now);
    /// Wakes all queued requests, so that they notice a change that is not the queue's.
    void wake_queued()
    {
        const std::lock_guard lock(mutex_);
        for (const auto* it : queue_)
        {
            signal_event_fd(it->wake_);
        }
    }
    /// Returns why a request was removed from the queue: it would not be answered in
    /// time.
    [[nodiscard]] std::optional<rejection_reason>
    rejection(const queued_request& queued) const;
    /// Removes a request from the queue; returns its placement if it got one.
    std::optional<placement> dequeue(queued_request& queued, time_point now);
    /// Records that the first event of this attempt has arrived, and how much later than
    /// forecast.
    void first_event(const placement& place, time_point now);
    /// Records that the prefill of this attempt has ended, by its first event or not.
    void prefill_done(const placement& place, time_point now);
    /// Releases a placement; prefill_done() must have been called for it.
    void release(const placement& place, time_point now);
    /// Returns the estimated queueing time of a new request for `service`, at least
    /// `least` and not before a backend server is available.
    [[nodiscard]] milliseconds expected_wait(std::string_view service, milliseconds least,
                                             time_point now) const;
    /// Returns when the first backend server of `service` returns from its backoff, if
    /// none is available before.
    [[nodiscard]] std::optional<time_point> unavailable_until(std::string_view service,
                                                              time_point now) const;
    /// Returns why no backend server may serve a request, however long it waits.
    [[nodiscard]] service_exclusion exclusion_of(const placement_request& request) const;
    /// Returns the evacuated availability zone that a placement uses, if any.
    [[nodiscard]] std::optional<std::string>
    evacuated_zone_in(const placement& place) const;
    /// Returns the number of evacuated availability zones.
    [[nodiscard]] std::size_t evacuated_zone_count() const;
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
    /// Modifies the allowance for cold backend servers under the lock, then serves the
    /// queue.
    template <typename Change>
    void update_cold_allowance(time_point now, const Change& change)
    {
        const std::lock_guard lock(mutex_);
        change(cold_.allowance());
        serve_queue(now);
    }
    /// Returns the backend servers that have turned cold or warm since the last call.
    std::vector<cold_change> take_cold_changes(time_point now)
    {
        const std::lock_guard lock(mutex_);
        return registry_.take_cold_changes(now);
    }
    /// Returns the state of cold backend servers.
    [[nodiscard]] cold_counts count_cold(time_point now) const
    {
        const std::lock_guard lock(mutex_);
        return cold_.counts(registry_, now);
    }
    /// Sets whether the fleet is divided into cells.
    void set_cells(bool has_cells);
    /// Applies the load report of a peer.
    void apply_report(const load_report_message& message, time_point now);
    /// Blocks until a change should be reported to peers immediately, at most `longest`.
    void wait_until_report_due(milliseconds longest);
    /// Makes the next wait_until_report_due() return immediately.
    void request_report();
    /// Returns the load of this gateway; the sender adds the other fields.
    [[nodiscard]] load_report_message report(time_point now);
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
    /// A set of gateways and the time since which it is the same.
    struct rival_set
    {
        std::uint64_t state = 0; ///< Combined hash of the gateways.
        time_point since;
    };
    /// Candidates by service. Valid until a load or the registry changes.
    using candidate_cache =
        std::map<std::string_view, std::vector<placement_candidate>, std::less<>>;

    using forecast_map = std::map<std::string_view, long_queue_forecast>;

    /// Returns whether a request may be served in an availability zone.
    [[nodiscard]] bool allows_zone(const placement_request& request,
                                   std::string_view zone) const;
    /// `zones` are those of the service's backend servers.
    [[nodiscard]] service_exclusion
    find_exclusion(const placement_request& request,
                   std::span<const std::string> zones) const;
    [[nodiscard]] std::vector<waiting_work> waiting_kinds() const;
    /// Marks the slots that other waiting gateways may take first as taken. Returns
    /// whether this gateway may take anything.
    bool yield_to_rivals(const placement_request& request,
                         std::vector<placement_candidate>& candidates, time_point now);
    [[nodiscard]] std::uint64_t long_prefill_turn(std::string_view service,
                                                  std::span<const std::uint64_t> rivals,
                                                  time_point now);
    const std::vector<placement_candidate>&
    candidates_for(std::string_view service, candidate_cache& cache, time_point now);
    std::optional<placement> find_placement(const placement_request& request,
                                            steady::duration waited,
                                            candidate_cache& cache, time_point now);
    void charge(std::string_view customer, placement& place, time_point now);
    void serve_queue(time_point now);
    [[nodiscard]] steady::duration start_delay(const queued_request& queued) const;
    [[nodiscard]] bool is_in_vain(const queued_request& queued, const placement& place,
                                  time_point now) const;
    std::optional<rejection_reason> find_rejection(queued_request& queued,
                                                   candidate_cache& cache,
                                                   forecast_map& forecasts,
                                                   time_point now);
    [[nodiscard]] std::optional<time_point> outage_end(std::string_view service,
                                                       time_point now) const;
    /// Returns when the service may have capacity for a queued request without any event:
    /// gateways take turns at free slots and prefill backlogs elapse, and the reports of
    /// a gateway that fell silent expire.
    std::optional<time_point> next_free_by_time(std::string_view service,
                                                candidate_cache& cache, time_point now);
    /// Wakes the requests that wait for another end of a backoff than before, whose
    /// service has lost the last backend server that may serve them, or that have to look
    /// after the queue earlier.
    void update_recheck_times(candidate_cache& cache, time_point now);
    [[nodiscard]] double min_served_cost() const;

    mutable std::mutex mutex_;
    std::condition_variable report_due_changed_;
    bool report_due_ = false; ///< A change should be reported to peers immediately.
    std::uint64_t load_generation_ = 0;
    bool has_cells_ = false;
    std::string zone_;
    std::uint64_t self_; ///< Hash of this gateway's name.
    zone_regions regions_;
    /// The gateways that last waited to place long prompts, by service.
    std::map<std::string, rival_set, std::less<>> long_rivals_;
    /// Requests placed at backend servers that the peers do not know of yet.
    std::map<std::string, std::size_t, std::less<>> unreported_placements_;
    /// Backend servers of released placements that the peers do not know of yet.
    std::set<std::string, std::less<>> unreported_releases_;
    backend_registry registry_;
    load_tracker loads_;
    cold_admission cold_;
    std::list<queued_request*> queue_;
    customer_costs served_cost_;
    /// Of the waits of long prompts, by service.
    std::map<std::string, forecast_error, std::less<>> wait_errors_;
    /// Of the times to the first event, by service and whether the prefill is long.
    std::map<std::pair<std::string, bool>, forecast_error> run_errors_;
};

} // namespace pistachiopost
