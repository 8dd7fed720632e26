/// \file
/// Plays the overload scenes: overload [SEED [SEEDS [calm|burst [GATEWAYS]]]].
#include "model/overload_model.hpp"

#include <cstdio>
#include <cstdlib>
#include <span>
#include <string_view>

namespace pistachiopost::model {
namespace {

int run(std::span<char*> arguments)
{
    const auto number = [&](std::size_t i, std::uint64_t fallback) {
        return i < arguments.size() ? std::strtoull(arguments[i], nullptr, 10) : fallback;
    };
    const auto first = number(1, 1);
    const auto count = number(2, 1);
    const bool calm = arguments.size() > 3 && std::string_view(arguments[3]) == "calm";
    double worth = 0;
    double held = 0;
    for (auto seed = first; seed < first + count; ++seed)
    {
        auto scene = calm ? calm_scene(seed) : burst_scene(seed);
        scene.gateways = number(4, scene.gateways);
        const auto result = overload_model(scene).run();
        std::printf("seed %llu\n%s", static_cast<unsigned long long>(seed),
                    to_table(result).c_str());
        worth += result.worth_share();
        held += result.held_share();
    }
    const auto n = static_cast<double>(count);
    std::printf("mean worth %.3f, held %.3f\n", worth / n, held / n);
    return 0;
}

} // namespace
} // namespace pistachiopost::model

int main(int argc, char** argv)
{
    return pistachiopost::model::run({argv, static_cast<std::size_t>(argc)});
}
