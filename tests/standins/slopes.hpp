/// \file
/// Measures how a process's cost grows with peers, connections, customers, requests.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace pistachiopost::standins {

/// Where to find programs and put results.
struct slopes_options
{
    std::filesystem::path product;
    std::filesystem::path standins;
    std::filesystem::path work;
    std::string result_file;
    double seconds = 5; ///< Length of each measurement.
};

/// Measures at three sizes each, prints a table and saves JSON. Returns the exit code.
int run_slopes(const slopes_options& options);

} // namespace pistachiopost::standins
