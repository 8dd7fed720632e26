/// \file
/// Attacks of clients outside the operator's control on one process.
#pragma once

#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <cstddef>
#include <span>
#include <string_view>

namespace pistachiopost::abuse {

/// Where and for how long an attack runs.
struct attack_target
{
    endpoint address;
    std::string_view path_prefix; ///< Of requests that the process serves.
    time_point until;             ///< Every client has stopped by then.
};

/// An attack, run by each client of a crowd on its own task.
struct attack
{
    std::string_view name;
    std::size_t clients;
    /// Runs one client until it has nothing more to send or `until` has passed. Throws
    /// connection_error if the process closes the connection.
    void (*run)(const attack_target& target, std::size_t client);
};

/// Returns all attacks.
std::span<const attack> attacks();

} // namespace pistachiopost::abuse
