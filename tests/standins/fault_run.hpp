/// \file
/// Seeded fault injection: runs a random sequence of faults under load and checks the
/// delivery guarantees against the results of callers and the records of services.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace pistachiopost::standins {

/// Options of a fault injection run.
struct fault_run_options
{
    std::filesystem::path product;
    std::filesystem::path standins;
    std::filesystem::path work;
    std::uint64_t seed = 1;
    int faults = 5; ///< Injected faults, each possibly overlapped by a second one.
};

/// Runs one sequence and prints the violations found. Returns 0 if there are none.
int run_faults(const fault_run_options& options);

} // namespace pistachiopost::standins
