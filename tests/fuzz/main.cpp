/// \file
/// Seeded fuzzing of the parsers of external input: fuzz TARGET CORPUS SEED RUNS.
#include "fuzz/targets.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <unistd.h>

// The sanitizer runtimes call functions with these names.
// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" const char* __asan_default_options()
{
    return "abort_on_error=1";
}
extern "C" const char* __ubsan_default_options()
{
    return "abort_on_error=1:print_stacktrace=1";
}
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)

namespace pistachiopost {
namespace {

struct target
{
    std::string_view name;
    void (*run)(std::string_view, mutator&);
};

constexpr std::array targets{target{"caller", fuzz_caller},
                             target{"framing", fuzz_framing},
                             target{"backend", fuzz_backend},
                             target{"configuration", fuzz_configuration},
                             target{"backend_row", fuzz_backend_row},
                             target{"load_report", fuzz_load_report},
                             target{"relay", fuzz_relay},
                             target{"gateway_row", fuzz_gateway_row}};

std::string current_input; // read by the handler of SIGABRT

/// Writes the input to the working directory, so that it can be added to the corpus.
void save_input()
{
    std::ofstream("fuzz-failure.bin", std::ios::binary) << current_input;
}

void on_abort(int /*signal_number*/)
{
    save_input(); // not async-signal-safe, but the process is about to exit
    constexpr std::string_view text = "input saved to fuzz-failure.bin\n";
    [[maybe_unused]] const auto n = write(STDERR_FILENO, text.data(), text.size());
    _exit(1);
}

std::vector<std::string> read_corpus(const std::filesystem::path& folder)
{
    std::vector<std::filesystem::path> paths;
    for (const auto& it : std::filesystem::directory_iterator(folder))
    {
        paths.push_back(it.path());
    }
    std::sort(paths.begin(), paths.end()); // directory order differs between file systems
    std::vector<std::string> inputs;
    for (const auto& it : paths)
    {
        std::ifstream file(it, std::ios::binary);
        inputs.emplace_back(std::istreambuf_iterator<char>(file),
                            std::istreambuf_iterator<char>());
    }
    return inputs;
}

int fuzz(const target& it, const std::vector<std::string>& corpus, std::uint64_t seed,
         std::uint64_t runs)
{
    mutator mutations(corpus, seed);
    for (std::uint64_t n = 0; n < corpus.size() + runs; ++n)
    {
        current_input = n < corpus.size() ? corpus[n] : mutations.next();
        try
        {
            it.run(current_input, mutations);
        }
        catch (const std::exception& ex)
        {
            save_input();
            fmt::print(stderr, "run {} of seed {}: {}; input saved to fuzz-failure.bin\n",
                       n, seed, ex.what());
            return 1;
        }
    }
    fmt::print("{} inputs: no failures\n", corpus.size() + runs);
    return 0;
}

} // namespace
} // namespace pistachiopost

int main(int argc, char** argv)
{
    using namespace pistachiopost;
    if (argc == 5)
    {
        std::signal(SIGABRT, on_abort);
        for (const auto& it : targets)
        {
            if (it.name == argv[1])
            {
                return fuzz(it, read_corpus(argv[2]), std::strtoull(argv[3], nullptr, 10),
                            std::strtoull(argv[4], nullptr, 10));
            }
        }
    }
    fmt::print(stderr, "usage: fuzz TARGET CORPUS SEED RUNS\n");
    return 2;
}
