/// \file
/// Seeded injection of disturbances, some of which overlap.
#pragma once

#include "soak/deployment.hpp"
#include "soak/disturbance.hpp"

#include <functional>
#include <random>

namespace pistachiopost::soak {

/// Effects of a disturbance may last this long after its end: the platform's stable
/// window.
inline constexpr milliseconds settling_time{3'000};

/// The kinds of faults that are injected.
enum class fault_mix
{
    all,
    lost_answers,   ///< The store has no outage, but answers to some gateways are lost.
    cold_starts,    ///< All backend servers of a service turn cold at a time.
    store_restores, ///< The store returns from copies some seconds old.
    evacuations     ///< Zones are evacuated in turn; gateways keep the store in contact.
};

/// Injects faults into a deployment. Not thread-safe.
class fault_injector
{
public:
    fault_injector(deployment& target, std::uint64_t seed, fault_mix mix)
        : target_(target), random_(seed), mix_(mix)
    {
    }

    /// Injects disturbances for `length`, then ends those still active.
    void run(milliseconds length);

    [[nodiscard]] const disturbances& injected() const { return injected_; }
    /// Returns processes that exited on their own or did not stop cleanly, and those that
    /// did not apply a configuration in time.
    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return violations_;
    }

private:
    /// An active disturbance and the action that ends it.
    struct active_fault
    {
        std::size_t index; ///< Index in the list of disturbances.
        time_point until;
        std::function<void()> end;
    };

    void inject_random();
    void begin(std::string name, milliseconds duration, std::function<void()> end,
               std::optional<std::size_t> gateway = {});
    void end_expired(time_point now);
    void stop_gateway();
    void kill_gateway();
    void pause_gateway();
    void change_settings();
    void disturb_store();
    void disturb_store_link();
    void disturb_backend();
    void disturb_backend_link();
    void drain_backend();
    void expire_backend_row();
    void turn_cold();
    void change_configuration();
    void lose_store_answers();
    void evacuate_zone();
    void compact_store();
    void restore_store();
    void check_configuration(time_point now);
    [[nodiscard]] bool was_disturbed(std::size_t gateway, time_point from,
                                     time_point to) const;
    [[nodiscard]] bool has_row_change(const std::string& id) const;
    [[nodiscard]] std::size_t pick_gateway();
    [[nodiscard]] std::size_t pick_backend();
    [[nodiscard]] milliseconds pick_duration();

    deployment& target_;
    std::mt19937_64 random_;
    fault_mix mix_;
    time_point next_evacuation_at_;
    time_point next_change_at_; ///< After lost answers, which do not recur before.
    bool change_is_due_ = false;
    time_point configured_at_;
    std::string newest_route_; ///< Of the newest configuration; empty once checked.
    disturbances injected_;
    std::vector<active_fault> active_;
    std::vector<std::string> violations_;
};

} // namespace pistachiopost::soak
