/// \file
/// Scheduling policies under simulation: the product's dispatcher and two baselines.
#pragma once

#include "model/load.hpp"
#include "process/admission/dispatcher.hpp"

#include <concepts>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pistachiopost::model {

/// Number and placement of a placed request.
using placed_request = std::pair<std::size_t, placement>;

/// Decides where and when requests run. Requests are identified by number.
template <typename Policy>
concept model_policy = requires(Policy it, std::size_t number, const arrival& prompt,
                                time_point now)
{
    it.on_arrival(number, prompt, now);
    it.on_first_event(number, now);
    it.on_finish(number, now);
    it.on_departure(number, now);
    it.exchange_load_reports(now);
    {
        it.take_placed(now)
        } -> std::same_as<std::vector<placed_request>>;
};

/// Returns the name of engine `i`; engine_number() is the inverse.
std::string engine_name(std::size_t i);
std::size_t engine_number(std::string_view name);

/// The product's policy: one dispatcher per gateway, exchanging load reports.
class product_policy
{
public:
    product_policy(const engine_cost_model& parameters, std::size_t engines,
                   std::size_t gateways);

    void on_arrival(std::size_t number, const arrival& prompt, time_point now);
    void on_first_event(std::size_t number, time_point now);
    void on_finish(std::size_t number, time_point now);
    void on_departure(std::size_t number, time_point now);
    void exchange_load_reports(time_point now);
    std::vector<placed_request> take_placed(time_point now);

private:
    struct request
    {
        std::size_t gateway = 0;
        std::string customer;
        placement_request criteria;
        std::unique_ptr<queued_request> waiter;
        std::optional<placement> place;
        bool prompt_read = false;
    };

    const engine_cost_model& parameters_;
    std::deque<dispatcher> gateways_;
    std::map<std::size_t, request> requests_;
    std::vector<placed_request> placed_;
    std::uint64_t reports_sent_ = 0;
};

/// How a baseline selects an engine.
enum class engine_selection
{
    least_loaded,
    round_robin
};

/// One FIFO queue for the fleet, with exact knowledge of the load of every engine.
class fifo_policy
{
public:
    fifo_policy(const engine_cost_model& parameters, std::size_t engines,
                engine_selection selection)
        : parameters_(parameters), selection_(selection), running_(engines)
    {
    }

    void on_arrival(std::size_t number, const arrival& prompt, time_point now);
    void on_first_event(std::size_t /*number*/, time_point /*now*/) {}
    void on_finish(std::size_t number, time_point now);
    void on_departure(std::size_t number, time_point now);
    void exchange_load_reports(time_point /*now*/) {}
    std::vector<placed_request> take_placed(time_point /*now*/)
    {
        return std::exchange(placed_, {});
    }

private:
    struct queued_request
    {
        std::size_t number;
        std::uint64_t tokens;
    };

    void dispatch_queued();
    [[nodiscard]] std::optional<std::size_t> select_engine();

    const engine_cost_model& parameters_;
    engine_selection selection_;
    std::vector<std::uint32_t> running_; ///< Number of running requests, by engine.
    std::deque<queued_request> queue_;
    std::map<std::size_t, std::size_t> engine_of_; ///< By request number.
    std::vector<placed_request> placed_;
    std::size_t next_engine_ = 0;
};

} // namespace pistachiopost::model
