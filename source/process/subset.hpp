/// \file
/// Subsetting: selects the backend servers that an entry links to.
#pragma once

#include "process/backend_directory.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Returns the number of servers per target that keeps an entry within `max_links` in
/// total: at most `wanted`, but at least two.
std::size_t links_per_target(std::span<const backend_server> list, std::size_t wanted,
                             std::size_t max_links);

/// Returns up to `size` servers per target, selected by rendezvous hashing with the
/// entry's name: most from the entry's own availability zone, at least a quarter from
/// others. The result depends only on the arguments; adding or removing one server
/// changes at most one server of the result.
std::vector<backend_server> choose_subset(std::span<const backend_server> list,
                                          std::string_view entry_vm,
                                          std::string_view zone, std::size_t size);

} // namespace pistachiopost
