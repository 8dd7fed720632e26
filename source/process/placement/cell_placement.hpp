/// \file
/// Selects the cell whose backend servers run an attempt, in a fleet that is divided into
/// cells by availability zone.
///
/// Answers the load of a large fleet, in which the load that gateways of other zones put
/// on a backend server is known only from digests: a request stays in the cell of its
/// gateway, where reports are fresh, and leaves it only after it has waited in vain.
#pragma once

#include "process/placement/placement.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace pistachiopost {

/// Time in the queue after which a request may leave its cell. Most requests that find
/// no place at once get one in the cell within this time.
inline constexpr milliseconds cell_patience{100};

/// Returns whether the load of a zone is known well enough to place work there.
using is_zone_known = std::function<bool(std::string_view zone)>;

/// Places a request in the cell of `zone`; if `waited` exceeds the patience, also in one
/// of the least loaded zones for which `known` is true. Nothing if there is no capacity.
std::optional<placement> place_in_cells(const placement_request& request,
                                        std::span<const placement_candidate> candidates,
                                        std::string_view zone, steady::duration waited,
                                        const is_zone_known& known);

} // namespace pistachiopost
