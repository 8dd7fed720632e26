/// \file
/// Places one prompt in a pool of engines: which one runs it, which ones read parts of
/// it, and where its memory is.
///
/// Long prompts are run by few engines, and the others, which write nothing, read for
/// them: an engine without writers spends no time on their steps, and a large part
/// stretches no answer's pauses.
#pragma once

#include "process/placement.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace pistachiopost {

/// Places a prompt in `pool`; nothing if it has to wait. `zone` is this gateway's.
std::optional<placement> place_in_pool(const placement_request& request,
                                       std::span<const placement_candidate> pool,
                                       std::string_view zone);

} // namespace pistachiopost
