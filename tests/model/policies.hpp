/// \file
/// Scheduling policies under simulation: the product's dispatcher and two baselines.
#pragma once

#include "model/load.hpp"
#include "process/dispatcher.hpp"

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
concept model_policy = requires(Policy it, std::size_t number, const arrival& what,
                                time_point now)
{
    it.arrive(number, what, now);
    it.first_event(number, now);
    it.finish(number, now);
    it.leave(number, now);
    it.tell_peers(now);
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
    product_policy(const engine_model& sheet, std::size_t engines, std::size_t gateways);

    void arrive(std::size_t number, const arrival& what, time_point now);
    void first_event(std::size_t number, time_point now);
    void finish(std::size_t number, time_point now);
    void leave(std::size_t number, time_point now);
    void tell_peers(time_point now);
    std::vector<placed_request> take_placed(time_point now);

private:
    struct request
    {
        std::size_t gateway = 0;
        std::string customer;
        placement_request wanted;
        std::unique_ptr<place_waiter> waiter;
        std::optional<placement> place;
        bool read = false;
    };

    const engine_model& sheet_;
    std::deque<dispatcher> gateways_;
    std::map<std::size_t, request> requests_;
    std::vector<placed_request> placed_;
    std::uint64_t told_ = 0;
};

/// How a baseline selects an engine.
enum class simple_choice
{
    least_loaded,
    round_robin
};

/// One FIFO queue for the fleet, with exact knowledge of the load of every engine.
class fifo_policy
{
public:
    fifo_policy(const engine_model& sheet, std::size_t engines, simple_choice choice)
        : sheet_(sheet), choice_(choice), running_(engines)
    {
    }

    void arrive(std::size_t number, const arrival& what, time_point now);
    void first_event(std::size_t /*number*/, time_point /*now*/) {}
    void finish(std::size_t number, time_point now);
    void leave(std::size_t number, time_point now);
    void tell_peers(time_point /*now*/) {}
    std::vector<placed_request> take_placed(time_point /*now*/)
    {
        return std::exchange(placed_, {});
    }

private:
    struct waiting
    {
        std::size_t number;
        std::uint64_t tokens;
    };

    void serve_line();
    [[nodiscard]] std::optional<std::size_t> choose();

    const engine_model& sheet_;
    simple_choice choice_;
    std::vector<std::uint32_t> running_; ///< Number of running requests, by engine.
    std::deque<waiting> line_;
    std::map<std::size_t, std::size_t> engine_of_; ///< By request number.
    std::vector<placed_request> placed_;
    std::size_t next_ = 0;
};

} // namespace pistachiopost::model
