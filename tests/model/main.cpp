/// \file
/// Compares scheduling policies in simulation: model [SEED [SECONDS [ENGINES
/// [GATEWAYS]]]].
#include "model/fleet_model.hpp"

#include <cstdio>
#include <cstdlib>
#include <span>

namespace pistachiopost::model {
namespace {

double argument(std::span<char*> arguments, std::size_t i, double fallback)
{
    return i < arguments.size() ? std::strtod(arguments[i], nullptr) : fallback;
}

int run(std::span<char*> arguments)
{
    const auto seed = static_cast<std::uint64_t>(argument(arguments, 1, 1));
    const auto seconds = argument(arguments, 2, 40);
    const auto engines = static_cast<std::size_t>(argument(arguments, 3, 16));
    const auto gateways = static_cast<std::size_t>(argument(arguments, 4, 3));
    const auto load = make_load(seed, seconds, engines, gateways);
    const auto parameters = largest_engine();
    std::printf(
        "| policy | prompts | requests | on time | served | first event p50 ms | p95 | "
        "p99 | late gaps |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- "
        "|\n");
    const auto show = [&](std::string_view name, auto policy) {
        fleet_model simulation(std::move(policy), parameters, engines, load);
        std::fputs(to_table(name, simulation.run()).c_str(), stdout);
    };
    show("product", product_policy(parameters, engines, gateways));
    show("least loaded, FIFO",
         fifo_policy(parameters, engines, engine_selection::least_loaded));
    show("round robin, FIFO",
         fifo_policy(parameters, engines, engine_selection::round_robin));
    return 0;
}

} // namespace
} // namespace pistachiopost::model

int main(int argc, char** argv)
{
    return pistachiopost::model::run({argv, static_cast<std::size_t>(argc)});
}
