/// \file
/// Seeded injection of disturbances, some of which overlap.
#pragma once

#include "soak/deployment.hpp"
#include "soak/disturbance.hpp"

#include <functional>
#include <random>

namespace pistachiopost::soak {

/// Injects faults into a deployment. Not thread-safe.
class fault_maker
{
public:
    fault_maker(deployment& target, std::uint64_t seed) : target_(target), random_(seed)
    {
    }

    /// Injects disturbances for `length`, then ends those still active.
    void run(milliseconds length);

    [[nodiscard]] const disturbances& done() const { return done_; }
    /// Returns processes that exited on their own or did not stop cleanly.
    [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }

private:
    /// An active disturbance and the action that ends it.
    struct open_fault
    {
        std::size_t number; ///< Index in the list of disturbances.
        time_point until;
        std::function<void()> end;
    };

    void begin_one();
    void begin(std::string name, milliseconds hold, std::function<void()> end,
               std::optional<std::size_t> gateway = {});
    void end_due(time_point now);
    void stop_gateway();
    void kill_gateway();
    void pause_gateway();
    void change_settings();
    void disturb_store();
    void disturb_store_link();
    void disturb_worker();
    void disturb_worker_link();
    void take_worker_away();
    void lapse_worker();
    void change_configuration();
    [[nodiscard]] bool changes_row(const std::string& id) const;
    [[nodiscard]] std::size_t pick_gateway();
    [[nodiscard]] std::size_t pick_worker();
    [[nodiscard]] milliseconds pick_hold();

    deployment& target_;
    std::mt19937_64 random_;
    disturbances done_;
    std::vector<open_fault> open_;
    std::vector<std::string> broken_;
};

} // namespace pistachiopost::soak
