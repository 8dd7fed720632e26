/// \file
/// Policies that choose one of several candidate backend servers.
#pragma once

#include "process/backend_directory.hpp"

#include <atomic>
#include <concepts>
#include <cstdint>
#include <span>
#include <string_view>

namespace pistachiopost {

/// Chooses a candidate. `cached_vm` names the server that probably caches the
/// prompt's prefix, or is empty; `random` is a uniform 64-bit number. The list is
/// never empty.
template <typename Choice>
concept backend_choice = requires(Choice& it, std::span<const candidate> list,
                                  std::string_view cached_vm, std::uint64_t random,
                                  bool compare_all)
{
    {
        it.choose(list, cached_vm, random, compare_all)
        } -> std::same_as<const candidate&>;
};

/// Compares two random servers of those with the lowest penalty (own availability
/// zone, meant for the prompt's length) and two of the others, and takes the one
/// with the lowest expected wait plus its penalty; compares all if `compare_all`. The
/// server `cached_vm` wins if its sum is not much higher.
class two_choices
{
public:
    /// Returns the choice.
    const candidate& choose(std::span<const candidate> list, std::string_view cached_vm,
                            std::uint64_t random, bool compare_all);
};

/// Takes the server with the fewest attempts in flight. Baseline.
class least_loaded
{
public:
    /// Returns the choice.
    const candidate& choose(std::span<const candidate> list, std::string_view cached_vm,
                            std::uint64_t random, bool compare_all);
};

/// Takes each server in turn. Baseline.
class round_robin
{
public:
    /// Returns the choice.
    const candidate& choose(std::span<const candidate> list, std::string_view cached_vm,
                            std::uint64_t random, bool compare_all);

private:
    std::atomic<std::uint64_t> next_index_{0};
};

static_assert(backend_choice<two_choices>);
static_assert(backend_choice<least_loaded>);
static_assert(backend_choice<round_robin>);

} // namespace pistachiopost
