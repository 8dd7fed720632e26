/// \file
/// What a gateway announces about its own view of the store.
#pragma once

#include "process/store_version.hpp"

#include <array>
#include <cstddef>

namespace pistachiopost {

/// Tables of the store that every gateway follows.
enum class watched_table
{
    configuration,
    backends
};
inline constexpr std::size_t watched_table_count = 2;

/// Announced by a gateway in each message to its peers.
struct store_status
{
    /// Whether it follows the table at the store itself, by table.
    std::array<bool, watched_table_count> watches{};
    bool store_failed = false; ///< Its last call to the store failed a short time ago.
    /// Version of the latest change that it knows, by table.
    std::array<store_version, watched_table_count> changes{};

    bool operator==(const store_status&) const = default;
};

} // namespace pistachiopost
