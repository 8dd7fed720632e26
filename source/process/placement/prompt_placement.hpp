/// \file
/// Places one prompt in a pool of engines: which engine runs it, which ones prefill parts
/// of it, and where its memory is reserved.
///
/// Few engines decode the answers to long prompts; the others of the pool only prefill
/// for them. An engine without decoding spends no time on decoding steps, and a large
/// prefill there delays no answer's events.
#pragma once

#include "process/placement/placement.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace pistachiopost {

/// Places a prompt in `pool`; nothing if it has to wait. `zone` is the availability zone
/// of this gateway.
std::optional<placement> place_in_pool(const placement_request& request,
                                       std::span<const placement_candidate> pool,
                                       std::string_view zone);

} // namespace pistachiopost
