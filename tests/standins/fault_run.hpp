/// \file
/// Seeded random sequences of faults, with the promises checked from the records of
/// callers, engines and services.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace pistachiopost::standins {

/// What one run does.
struct fault_run_options
{
    std::filesystem::path product;
    std::filesystem::path standins;
    std::filesystem::path work;
    std::uint64_t seed = 1;
    int faults = 5; ///< Faults caused, some of them overlapping.
};

/// Runs one sequence; prints what was seen. Returns 0 if every promise held.
int run_faults(const fault_run_options& options);

} // namespace pistachiopost::standins
