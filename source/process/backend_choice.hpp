/// \file
/// Load-balancing policies: select one of several candidate backend servers.
#pragma once

#include "process/backend_directory.hpp"

#include <atomic>
#include <concepts>
#include <cstdint>
#include <span>
#include <string_view>

namespace pistachiopost {

/// Selects a candidate from a non-empty list. `cached_vm` names the server that
/// probably caches the prompt's prefix, or is empty; `random` is a uniform 64-bit
/// number; `compare_all` asks for a comparison of all candidates instead of a sample.
template <typename Choice>
concept backend_choice = requires(Choice& it, std::span<const candidate> list,
                                  std::string_view cached_vm, std::uint64_t random,
                                  bool compare_all)
{
    {
        it.choose(list, cached_vm, random, compare_all)
        } -> std::same_as<const candidate&>;
};

/// Power of two choices. Samples two servers with the lowest penalty (same availability
/// zone, intended for the prompt's length) and two of the others, or all servers if
/// `compare_all`, and selects the one with the lowest expected wait plus penalty.
/// `cached_vm` is selected instead if its sum exceeds that by at most affinity_slack.
class two_choices
{
public:
    const candidate& choose(std::span<const candidate> list, std::string_view cached_vm,
                            std::uint64_t random, bool compare_all);
};

/// Selects the server with the fewest attempts in flight. Baseline for benchmarks.
class least_loaded
{
public:
    const candidate& choose(std::span<const candidate> list, std::string_view cached_vm,
                            std::uint64_t random, bool compare_all);
};

/// Selects each server in turn. Baseline for benchmarks.
class round_robin
{
public:
    const candidate& choose(std::span<const candidate> list, std::string_view cached_vm,
                            std::uint64_t random, bool compare_all);

private:
    std::atomic<std::uint64_t> next_index_{0};
};

static_assert(backend_choice<two_choices>);
static_assert(backend_choice<least_loaded>);
static_assert(backend_choice<round_robin>);

} // namespace pistachiopost
