/// \file
/// Chooses which backend servers an entry keeps links to.
#pragma once

#include "process/backend_directory.hpp"

#include <span>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Returns how many servers of each target an entry links to, so that its links stay
/// within `max_links` in all: at most `wanted`, but at least two.
std::size_t links_per_target(std::span<const backend_server> list, std::size_t wanted,
                             std::size_t max_links);

/// Returns up to `size` servers for each target, by rendezvous hashing with the
/// entry's name: most from the entry's own availability zone, at least a quarter
/// from others. The result depends only on the arguments, and one server more or
/// less in the list changes at most one of the result.
std::vector<backend_server> choose_subset(std::span<const backend_server> list,
                                          std::string_view entry_vm,
                                          std::string_view zone, std::size_t size);

} // namespace pistachiopost
