/// \file
/// What draining a backend server leaves for its model or service.
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

/// Backend servers of one target before and after a drain, by availability zone.
struct drain_effects
{
    std::string serves; ///< Model or service name.
    std::size_t before = 0;
    std::size_t after = 0;
    std::map<std::string, std::size_t> after_by_zone;

    /// Returns the effects in words, a line each.
    [[nodiscard]] std::vector<std::string> lines() const;
};

/// Returns the effects of draining `vm` beside those drained already; empty if the
/// list does not have it.
std::optional<drain_effects>
work_out_drain(std::span<const backend_server> list,
               const std::set<std::string, std::less<>>& drained, std::string_view vm);

} // namespace pistachiopost
