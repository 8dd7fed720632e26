/// \file
/// Capacity left for a model or service when one of its backend servers is drained.
#pragma once

#include "process/backend_directory.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Number of backend servers of one model or service before and after a drain, and by
/// availability zone.
struct drain_effects
{
    std::string serves; ///< Model or service name.
    std::size_t before = 0;
    std::size_t after = 0;
    std::map<std::string, std::size_t> after_by_zone;

    /// Returns a description for operators, one string per line.
    [[nodiscard]] std::vector<std::string> describe() const;
};

/// Returns the effects of draining `vm` in addition to the VMs in `drained`; empty if
/// `vm` is not in `list`.
std::optional<drain_effects>
compute_drain_effects(std::span<const backend_server> list,
                      const std::set<std::string, std::less<>>& drained,
                      std::string_view vm);

} // namespace pistachiopost
