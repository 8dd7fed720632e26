/// \file
/// Measures how the CPU, memory and network cost of processes scales with peers,
/// connections, customers, requests and claims.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace pistachiopost::standins {

/// Options of a scaling measurement.
struct slopes_options
{
    std::filesystem::path product;
    std::filesystem::path standins;
    std::filesystem::path work;
    std::string result_file;
    double seconds = 5; ///< Duration of each measurement.
};

/// Measures each dimension at three or more sizes, prints a table and writes the JSON
/// result file if one is set. Returns the exit code.
int run_slopes(const slopes_options& options);

} // namespace pistachiopost::standins
