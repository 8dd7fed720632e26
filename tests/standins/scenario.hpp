/// \file
/// Runs scripted scenarios. A scenario is a JSON file: a fleet and a list of
/// steps, each an object with one verb; the manual lists the verbs.
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

/// A step did not hold. The message names the step and what was seen.
class scenario_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// One run of one scenario.
class scenario
{
public:
    scenario(fleet& processes, std::uint64_t seed);
    /// Runs all steps. Throws scenario_error at the first that does not hold.
    void run(const nlohmann::json& steps);
    /// Returns the result of the last load.
    [[nodiscard]] const std::optional<load_result>& last_load() const { return load_; }

private:
    void run_step(const nlohmann::json& step);
    void send(const nlohmann::json& it);
    void expect(const nlohmann::json& it);
    void start_load(const nlohmann::json& it);
    void finish_load(const nlohmann::json& it);
    void send_raw(const nlohmann::json& it);
    void operate(const nlohmann::json& it);
    void until(const nlohmann::json& it);
    void wait_ready();
    void wait_released();

    fleet& fleet_;
    std::uint64_t seed_;
    std::map<std::string, std::future<outcome>> calls_;
    std::map<std::string, std::string> plans_; ///< Plan identifiers by name.
    std::future<load_result> running_load_;
    std::optional<load_result> load_;
};

} // namespace pistachiopost::standins
