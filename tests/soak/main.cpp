/// \file
/// Soak test: gateway processes under seeded faults, with guarantees checked externally.
#include "soak/callers.hpp"
#include "soak/checks.hpp"
#include "soak/deployment.hpp"
#include "soak/fault_injector.hpp"

#include "process/task.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>

DEFINE_string(product, "", "path of the pistachiopost program");
DEFINE_string(work, "", "folder for settings and logs");
DEFINE_uint64(seed, 1, "seed of callers and disturbances");
DEFINE_uint32(gateways, 3, "gateway processes");
DEFINE_uint32(engines, 5, "model engine stubs");
DEFINE_uint32(services, 3, "plain service stubs");
DEFINE_uint32(callers, 12, "concurrent callers");
DEFINE_bool(
    lost_answers, false,
    "lose answers of the store behind live connections, without outages of the store");
DEFINE_bool(evacuations, false,
            "evacuate zones in turn, without outages of the store or its links");
DEFINE_bool(store_restores, false, "return the store from copies some seconds old");
DEFINE_bool(cold_starts, false, "turn the backend servers of a service cold");
DEFINE_uint32(length_ms, 8'000, "time during which disturbances are started");

namespace pistachiopost::soak {
namespace {

// A gateway must serve within this time after the last disturbance: the platform's bound
// on recovery.
constexpr milliseconds recovery_limit{12'000};
// Reserved memory must be free within this time after the last request.
constexpr milliseconds release_limit{4'000};

/// Retries a call of each type at each gateway until it succeeds.
void check_recovery(deployment& it, std::vector<std::string>& violations)
{
    const auto until = steady::now() + recovery_limit;
    for (std::size_t gateway = 0; gateway < it.gateways.size(); ++gateway)
    {
        if (!it.wait_ready(gateway, recovery_limit))
        {
            violations.push_back(
                fmt::format("gateway {} did not become ready again", gateway));
            continue;
        }
        for (const auto type : {call_type::lookup, call_type::booking,
                                call_type::short_prompt, call_type::long_prompt})
        {
            call_record last;
            for (int n = 0; last.status != 200 && (n == 0 || steady::now() < until); ++n)
            {
                last = call_record();
                last.id =
                    fmt::format("after-{}-{}-{}", gateway, static_cast<int>(type), n);
                last.type = type;
                last.target = path_prefix(type);
                tcp_stream stream(
                    connect_tcp(it.gateways[gateway].caller_endpoint, 1'000));
                make_call(stream, last, {});
            }
            if (last.status != 200)
            {
                violations.push_back(fmt::format(
                    "{} was not served after recovery: status {}", last.id, last.status));
            }
        }
    }
}

/// Other gateways must find each one by its row, also after the store lost it.
void check_rows(deployment& it, std::vector<std::string>& violations)
{
    const auto until = steady::now() + recovery_limit;
    for (std::size_t i = 0; i < it.gateways.size(); ++i)
    {
        const auto name = fmt::format("front-{}", i);
        const auto is_listed = [&] {
            return it.store.has_row("pistachiopost-gateways", name);
        };
        while (!is_listed() && steady::now() < until)
        {
            wait_readable(-1, -1, steady::now() + milliseconds{50});
        }
        if (!is_listed())
        {
            violations.push_back(name + " is not listed in the store");
        }
    }
}

void check_memory(deployment& it, std::vector<std::string>& violations)
{
    const auto until = steady::now() + release_limit;
    for (const auto& one : it.backends)
    {
        while (one.server->count_reservations() > 0 && steady::now() < until)
        {
            wait_readable(-1, -1, steady::now() + milliseconds{50});
        }
        if (const auto n = one.server->count_reservations(); n > 0)
        {
            violations.push_back(
                fmt::format("{} still holds {} reservations", one.server->id(), n));
        }
    }
}

int run()
{
    deployment target(FLAGS_product, FLAGS_work,
                      {FLAGS_gateways, FLAGS_engines, FLAGS_services, FLAGS_cold_starts},
                      FLAGS_seed);
    for (std::size_t i = 0; i < target.gateways.size(); ++i)
    {
        target.start(i);
    }
    std::vector<std::string> violations;
    for (std::size_t i = 0; i < target.gateways.size(); ++i)
    {
        if (!target.wait_ready(i, recovery_limit))
        {
            violations.push_back(fmt::format("gateway {} is not ready", i));
        }
    }
    caller_group callers(target.caller_endpoints(), FLAGS_seed, FLAGS_callers);
    fault_injector faults(target, FLAGS_seed,
                          FLAGS_cold_starts      ? fault_mix::cold_starts
                          : FLAGS_store_restores ? fault_mix::store_restores
                          : FLAGS_evacuations    ? fault_mix::evacuations
                          : FLAGS_lost_answers   ? fault_mix::lost_answers
                                                 : fault_mix::all);
    faults.run(milliseconds{FLAGS_length_ms});
    const auto calls = callers.finish();
    const auto runs = target.record.take();
    auto call_violations = find_violations(calls, runs, faults.injected());
    violations.insert(violations.end(), call_violations.begin(), call_violations.end());
    const auto evacuation_violations = find_evacuation_violations(
        runs, target.record.take_reservations(), faults.injected());
    violations.insert(violations.end(), evacuation_violations.begin(),
                      evacuation_violations.end());
    violations.insert(violations.end(), faults.violations().begin(),
                      faults.violations().end());
    check_recovery(target, violations);
    check_rows(target, violations);
    check_memory(target, violations);

    const auto served = std::count_if(calls.begin(), calls.end(), [](const auto& it) {
        return it.status == 200 && it.complete;
    });
    fmt::print("seed {}: {} of {} calls served, {} promises broken;", FLAGS_seed, served,
               calls.size(), violations.size());
    for (const auto& it : faults.injected())
    {
        fmt::print(" {};", it.name);
    }
    fmt::print("\n");
    if (FLAGS_cold_starts)
    {
        fmt::print("most requests to a cold server in one second: {} of {}\n",
                   count_cold_requests(runs, faults.injected()), cold_bound);
    }
    for (const auto& it : violations)
    {
        fmt::print("  broken: {}\n", it);
    }
    return violations.empty() ? 0 : 1;
}

} // namespace
} // namespace pistachiopost::soak

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return pistachiopost::soak::run();
    }
    catch (const std::exception& it)
    {
        fmt::print(stderr, "soak: {}\n", it.what());
        return 1;
    }
}
