/// \file
/// Measures the policies against baselines on a whole fleet of processes.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace pistachiopost::standins {

/// What to measure.
struct bench_options
{
    std::filesystem::path product;
    std::filesystem::path standins;
    std::filesystem::path work;
    std::string result_file;
    std::string only; ///< Name of the one policy to run; empty: all.
    std::uint64_t seed = 1;
    double seconds = 20;       ///< Length of each phase.
    double steady_share = 0.8; ///< Load of the steady phase, of capacity.
    double crest = 4;          ///< Rate factor in the middle third of the crest phase.
    bool faults = true;        ///< Run the crest phase once more with faults.
};

/// Runs every policy, prints a table for each phase and saves JSON. Returns the
/// exit code.
int run_bench(const bench_options& options);

} // namespace pistachiopost::standins
