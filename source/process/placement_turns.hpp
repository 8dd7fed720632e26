/// \file
/// Decides when a gateway leaves free capacity to others of its cell whose requests wait.
///
/// Answers the load at a peak. Slots for short prompts and calls go to as many gateways
/// as there are slots (slot_contention.hpp). Long prompts take many engines at once, so
/// one gateway at a time places them. A prompt of many engines would still wait until its
/// caller gives up, because shorter ones take each engine as it becomes free: once it is
/// overdue, its gateway claims the engines for a while, in which the others place no long
/// prompts.
#pragma once

#include "process/load_tracker.hpp"
#include "process/placement.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Returns whether a long prompt that has waited for `waited` claims the engines now. It
/// does so for a part of the time after its latency target, so that others get their turn
/// if it finds no place.
bool is_claim_time(steady::duration waited, steady::duration target);

/// Returns whether a long prompt could be placed if the long prompts that run had ended.
/// Otherwise a claim would only hold up others.
bool fits_without_long_prompts(const placement_request& request,
                               std::span<const placement_candidate> candidates,
                               std::string_view zone);

/// The turns of one gateway. Not thread-safe: the dispatcher serializes access.
class placement_turns
{
public:
    /// `self` is the hash of this gateway's name.
    explicit placement_turns(std::uint64_t self) : self_(self) {}

    /// Records a placement or a release at a backend server.
    void record_placement(std::string_view backend);
    void record_release(std::string_view backend);
    /// Records that the placements and releases so far are being reported to the peers.
    void mark_reported();

    /// Marks the slots that other waiting gateways may take first as taken.
    void yield_slots(std::string_view service, const load_tracker& loads,
                     std::vector<placement_candidate>& candidates, time_point now) const;
    /// Returns whether this gateway leaves the engines of `service` to others that wait
    /// to place long prompts. `claims` is whether the prompt claims them.
    bool yields_engines(std::string_view service, bool claims, const load_tracker& loads,
                        time_point now);

private:
    /// A set of gateways and the time since which it is the same.
    struct rival_set
    {
        std::uint64_t state = 0; ///< Combined hash of the gateways.
        time_point since;
    };

    [[nodiscard]] std::uint64_t
    turn(std::string_view service, std::span<const std::uint64_t> rivals, time_point now);

    std::uint64_t self_;
    /// The gateways that last waited to place long prompts, by service.
    std::map<std::string, rival_set, std::less<>> rivals_;
    /// Requests placed at backend servers that the peers do not know of yet.
    std::map<std::string, std::size_t, std::less<>> unreported_placements_;
    /// Backend servers of released placements that the peers do not know of yet.
    std::set<std::string, std::less<>> unreported_releases_;
};

} // namespace pistachiopost
