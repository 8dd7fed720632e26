/// \file
/// Plays an overload scene: dispatchers of several gateways before modelled engines.
///
/// The dispatchers are the product's; how long a request waits follows placement_wait.
/// Not modelled: processor time of gateways, and latency of reports.
#pragma once

#include "model/overload_load.hpp"
#include "process/admission/dispatcher.hpp"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace pistachiopost::model {

inline constexpr std::string_view service_name = "model";

/// Returns the number of an engine from the name of its record.
inline std::size_t engine_number(std::string_view name)
{
    return std::stoul(std::string(name.substr(name.find('-') + 1)));
}

/// How a call ended for its caller.
enum class call_outcome
{
    on_time,
    late,
    rejected_at_once, ///< Both answers came within a tenth of the caller's patience.
    rejected_late,
    failed, ///< Begun and not complete before the deadline, or given up by the caller.
    left    ///< The caller gave up regardless of the service.
};

inline constexpr std::size_t outcome_count = 6;

/// Results of the calls of one kind and size.
struct outcome_counts
{
    std::array<std::size_t, outcome_count> calls{};
    double worth = 0;      ///< Earned.
    double worth_due = 0;  ///< If all had been on time.
    double worth_held = 0; ///< Of calls that ended unserved after more than half their
                           ///< caller's patience.
    double wasted_ms = 0;  ///< Engine time of calls that were begun and not served.

    [[nodiscard]] std::size_t total() const;
    [[nodiscard]] std::size_t count(call_outcome it) const
    {
        return calls[static_cast<std::size_t>(it)];
    }
    [[nodiscard]] double served_share() const;
    outcome_counts& operator+=(const outcome_counts& other);
};

/// Results of one kind.
struct kind_outcomes
{
    outcome_counts usual;
    outcome_counts largest; ///< The largest tenth of the kind.
};

struct overload_result
{
    std::vector<kind_outcomes> kinds;
    /// Long prompts that were begun although their prefill on the engines they got could
    /// not end before their caller leaves.
    std::size_t futile_starts = 0;
    /// Short prompts placed after their target while long prefills were running.
    std::size_t short_after_target = 0;
    /// Share of calls served, of the customer with the lowest.
    double worst_customer_share = 1;

    /// Returns the worth earned as a share of the worth due.
    [[nodiscard]] double worth_share() const;
    /// Returns the worth held as a share of the worth due.
    [[nodiscard]] double held_share() const;
};

/// Returns the result as rows of a Markdown table.
std::string to_table(const overload_result& result);

/// Plays one scene; run() may be called once.
class overload_model
{
public:
    explicit overload_model(const overload_scene& scene);

    overload_result run();

private:
    /// One request as a gateway sees it: a call, or its retry.
    struct attempt
    {
        std::size_t call = 0;
        std::size_t gateway = 0;
        model_ms arrived = 0;
        placement_request criteria;
        std::string customer;
        std::unique_ptr<queued_request> queued;
        std::optional<placement> place;
        std::shared_ptr<job> work;
        bool prompt_read = false;
    };
    struct call_state
    {
        std::size_t tries = 0;
        bool repeated = false; ///< By the gateway, after its engine was lost.
        bool ended = false;
        bool held = false; ///< A try was rejected late.
        double first_event = -1;
        double last_event = 0;
        double longest_gap = 0;
        std::shared_ptr<attempt> current;
    };
    struct scheduled_event
    {
        model_ms when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const scheduled_event& other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };

    void schedule(model_ms when, std::function<void()> action);
    [[nodiscard]] time_point at(model_ms when) const;
    [[nodiscard]] const overload_kind& kind_of(std::size_t call) const;
    [[nodiscard]] model_ms deadline(std::size_t call) const;
    void exchange_reports();
    void begin_try(std::size_t call);
    void enqueue(const std::shared_ptr<attempt>& it);
    void recheck(const std::shared_ptr<attempt>& it);
    void handle_wakes();
    void reject(const std::shared_ptr<attempt>& it);
    void start(const std::shared_ptr<attempt>& it);
    void assign_part(std::size_t number, const std::shared_ptr<job>& work, double tokens,
                     double pairs, bool helper);
    void release(const std::shared_ptr<attempt>& it);
    void wake_engine(std::size_t number);
    void next_pass(std::size_t number, std::uint64_t incarnation);
    void lose(std::size_t number, model_ms until);
    void on_event(const std::shared_ptr<attempt>& it);
    void on_done(const std::shared_ptr<attempt>& it);
    void expire(const std::shared_ptr<attempt>& it, call_outcome outcome);
    void end(std::size_t call, call_outcome outcome);

    overload_scene scene_;
    engine_cost_model parameters_ = overload_engine();
    std::vector<overload_call> calls_;
    std::vector<call_state> states_;
    std::vector<std::uint64_t> large_from_; ///< Least length of the largest tenth.
    std::deque<dispatcher> gateways_;
    std::vector<std::unique_ptr<engine>> engines_;
    std::vector<std::uint64_t> incarnations_;
    std::vector<bool> busy_;
    std::vector<bool> lost_;
    std::vector<std::vector<std::weak_ptr<attempt>>> running_; ///< By engine.
    std::vector<std::shared_ptr<attempt>> waiting_;
    std::priority_queue<scheduled_event> events_;
    std::vector<std::pair<std::size_t, std::size_t>> by_customer_; ///< Served, all.
    std::uint64_t order_ = 0;
    std::uint64_t reports_ = 0;
    std::size_t unfinished_ = 0;
    std::size_t long_prefills_ = 0; ///< Running.
    model_ms now_ = 0;
    overload_result result_;
};

} // namespace pistachiopost::model
