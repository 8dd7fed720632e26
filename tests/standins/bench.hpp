/// \file
/// Benchmark of the load-balancing and queue policies against baselines, run on a
/// complete deployment of processes.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace pistachiopost::standins {

/// Options of a benchmark run.
struct bench_options
{
    std::filesystem::path product;
    std::filesystem::path standins;
    std::filesystem::path work;
    std::string result_file;
    std::string choice_filter; ///< Choice policy to measure; empty: all.
    std::uint64_t seed = 1;
    double seconds = 20;             ///< Duration of each phase.
    double steady_utilization = 0.8; ///< Steady load as a share of capacity.
    double peak_factor = 4; ///< Rate multiplier in the middle third of the peak phase.
    bool faults = true;     ///< Repeat the peak phase with injected faults.
};

/// Measures the selected policies, prints one table per phase and writes the JSON
/// result file if one is set. Returns the exit code.
int run_bench(const bench_options& options);

} // namespace pistachiopost::standins
