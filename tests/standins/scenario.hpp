/// \file
/// Runs scripted scenarios. A scenario is a JSON file with a deployment and a list of
/// steps; each step is an object whose single key names the action. The actions are
/// listed in docs/manual/scenarios.md.
#pragma once

#include "standins/caller.hpp"
#include "standins/fleet.hpp"

#include <nlohmann/json.hpp>

#include <future>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>

namespace pistachiopost::standins {

/// A step failed. The message contains the step and the observed result.
class scenario_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Executes the steps of a scenario against a running deployment.
class scenario
{
public:
    scenario(fleet& processes, std::uint64_t seed);
    /// Runs all steps. Throws scenario_error at the first that fails.
    void run(const nlohmann::json& steps);
    /// Returns the result of the last finished load.
    [[nodiscard]] const std::optional<load_result>& last_load() const { return load_; }

private:
    void run_step(const nlohmann::json& step);
    void send(const nlohmann::json& it);
    void expect(const nlohmann::json& it);
    void start_load(const nlohmann::json& it);
    void finish_load(const nlohmann::json& it);
    void send_raw(const nlohmann::json& it);
    void run_operator_step(const nlohmann::json& it);
    void wait_until(const nlohmann::json& it);
    void wait_ready();
    void wait_released();

    fleet& fleet_;
    std::uint64_t seed_;
    std::map<std::string, std::future<outcome>> calls_;
    std::map<std::string, std::string> plans_; ///< Plan ids by keep_plan name.
    std::future<load_result> running_load_;
    std::optional<load_result> load_;
};

} // namespace pistachiopost::standins
