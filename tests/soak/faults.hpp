/// \file
/// Seeded series of disturbances, some of them overlapping.
#pragma once

#include "soak/deployment.hpp"
#include "soak/disturbance.hpp"

#include <functional>
#include <random>

namespace pistachiopost::soak {

/// Disturbs a deployment. For one task.
class fault_maker
{
public:
    fault_maker(deployment& target, std::uint64_t seed) : target_(target), random_(seed)
    {
    }

    /// Causes disturbances for `length`, then ends all of them.
    void run(milliseconds length);

    [[nodiscard]] const disturbances& done() const { return done_; }
    /// Returns what went wrong by itself: processes that ended or did not stop in order.
    [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }

private:
    /// A disturbance under way, and how it ends.
    struct open_fault
    {
        std::size_t number; ///< In done_.
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
