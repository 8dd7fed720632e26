/// \file
/// Selects a group of backend servers for a prompt that exceeds the memory of one.
#pragma once

#include "process/backend_directory.hpp"
#include "request/request.hpp"
#include "request/serve_attempts.hpp"

#include <cstdint>
#include <span>

namespace pistachiopost {

/// Returns the memory a request needs, in tokens.
std::uint64_t needed_memory(const request& req);

/// Returns the least busy servers whose combined memory holds the prompt: members that
/// only reserve memory, and the primary that runs the prompt. Members are in name order
/// and the primary's name comes last, so that all entries reserve in the same order.
/// Refuses as too large if the largest permitted group cannot hold the prompt.
choice_result choose_group(const request& req, std::span<const candidate> list,
                           bool isolated);

} // namespace pistachiopost
