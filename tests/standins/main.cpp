/// \file
/// The standins program: simulated engine, service and platform, and the runners for
/// scenarios, benchmarks and fault injection.
#include "process/logging.hpp"
#include "process/task.hpp"
#include "standins/bench.hpp"
#include "standins/engine.hpp"
#include "standins/fault_run.hpp"
#include "standins/platform.hpp"
#include "standins/scenario.hpp"
#include "standins/slopes.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_uint32(port, 0, "port to listen on");
DEFINE_uint32(lag_ms, 0, "delay until readers of the VM list see a change, in ms");
DEFINE_uint64(memory, 450'000, "engine memory, in tokens");
DEFINE_double(prefill_rate, 400'000, "engine prefill rate, in tokens per second");
DEFINE_uint32(slots, 32, "concurrent streams of the engine");
DEFINE_string(product, "", "path of the pistachiopost executable");
DEFINE_string(work, "", "directory for settings and logs");
DEFINE_bool(keep, false, "keep the deployment running after the steps until interrupted");
DEFINE_uint64(seed, 1, "seed for generated prompts and loads");
DEFINE_double(seconds, 20, "duration of each benchmark phase or measurement, in seconds");
DEFINE_bool(faults, true, "repeat the peak phase of the benchmark with injected faults");
DEFINE_string(only, "", "measure only the policy with this choice setting");
DEFINE_string(result, "", "JSON file for the results");

namespace pistachiopost::standins {
namespace {

/// Prints how to call the deployment and waits for SIGINT or SIGTERM.
void wait_for_interrupt(const fleet& processes)
{
    const auto entry = processes.endpoint_of("entry-1");
    fmt::print("\nentries:\n");
    for (const auto& name : processes.names("entry"))
    {
        fmt::print("  http://{}\n", to_string(processes.endpoint_of(name)));
    }
    fmt::print(
        "key: {}\n\ncurl -sN http://{}/v1/completions -H 'Authorization: Bearer {}' \\\n"
        "  -d '{{\"model\":\"lens-model\",\"prompt\":\"polish log\",\"max_tokens\":8,"
        "\"stream\":true}}'\n\nStop with Ctrl-C.\n",
        processes.keys()[0], to_string(entry), processes.keys()[0]);
    std::cout.flush();
    wait_for_stop_signal();
}

nlohmann::json usage_of(const fleet& processes)
{
    nlohmann::json all;
    for (const auto* prefix : {"entry", "agent"})
    {
        for (const auto& name : processes.names(prefix))
        {
            const auto [cpu, memory] = processes.usage(name);
            all[name] = {{"cpu_s", cpu}, {"resident_kb", memory}};
        }
    }
    return all;
}

int run_scenario(const std::string& file, const std::string& self)
{
    std::ifstream in(file);
    const auto document = nlohmann::json::parse(in);
    fleet processes(document.at("fleet"), FLAGS_product, self, FLAGS_work);
    processes.start_all();
    scenario it(processes, FLAGS_seed);
    try
    {
        it.run(document.at("steps"));
        if (FLAGS_keep)
        {
            wait_for_interrupt(processes);
        }
        if (!FLAGS_result.empty() && it.last_load())
        {
            auto result = to_json(*it.last_load());
            result["usage"] = usage_of(processes);
            std::ofstream(FLAGS_result) << result.dump(2) << '\n';
        }
    }
    catch (const scenario_error& problem)
    {
        fmt::print("{}: FAILED: {}\n", file, problem.what());
        return 1;
    }
    if (const auto ungraceful = processes.stop_product(); !ungraceful.empty())
    {
        fmt::print("{}: FAILED: {} did not stop gracefully\n", file, ungraceful.front());
        return 1;
    }
    fmt::print("{}: passed\n", file);
    return 0;
}

int run(const std::string& command, int argc, char** argv)
{
    const auto port = static_cast<std::uint16_t>(FLAGS_port);
    if (command == "engine")
    {
        engine_options options;
        options.memory_tokens = FLAGS_memory;
        options.prefill_rate = FLAGS_prefill_rate;
        options.slots = FLAGS_slots;
        return run_engine(FLAGS_address, port, options);
    }
    if (command == "table")
    {
        return run_table(FLAGS_address, port);
    }
    if (command == "vms")
    {
        return run_vm_list(FLAGS_address, port, FLAGS_lag_ms);
    }
    if (command == "service")
    {
        return run_service(FLAGS_address, port);
    }
    if (command == "scenario" && argc == 3)
    {
        return run_scenario(argv[2],
                            std::filesystem::read_symlink("/proc/self/exe").string());
    }
    if (command == "slopes")
    {
        slopes_options options;
        options.product = FLAGS_product;
        options.standins = std::filesystem::read_symlink("/proc/self/exe");
        options.work = FLAGS_work;
        options.result_file = FLAGS_result;
        options.seconds = FLAGS_seconds;
        return run_slopes(options);
    }
    if (command == "faults")
    {
        fault_run_options options;
        options.product = FLAGS_product;
        options.standins = std::filesystem::read_symlink("/proc/self/exe");
        options.work = FLAGS_work;
        options.seed = FLAGS_seed;
        return run_faults(options);
    }
    if (command == "bench")
    {
        bench_options options;
        options.product = FLAGS_product;
        options.standins = std::filesystem::read_symlink("/proc/self/exe");
        options.work = FLAGS_work;
        options.result_file = FLAGS_result;
        options.choice_filter = FLAGS_only;
        options.seed = FLAGS_seed;
        options.seconds = FLAGS_seconds;
        options.faults = FLAGS_faults;
        return run_bench(options);
    }
    fmt::print(stderr,
               "usage: standins bench|faults|slopes|engine|table|vms|service|scenario "
               "FILE [FLAGS]\n");
    return 2;
}

} // namespace
} // namespace pistachiopost::standins

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "scenario" || command == "bench" || command == "faults")
    {
        pistachiopost::block_stop_signals();
    }
    try
    {
        return pistachiopost::standins::run(command, argc, argv);
    }
    catch (const std::exception& it)
    {
        fmt::print(stderr, "standins {}: {}\n", command, it.what());
        return 1;
    }
}
