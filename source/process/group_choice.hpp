/// \file
/// Chooses the backend servers that together hold a prompt too long for one.
#pragma once

#include "process/backend_directory.hpp"
#include "request/request.hpp"
#include "request/serve_attempts.hpp"

#include <cstdint>
#include <span>

namespace pistachiopost {

/// Returns the memory a request needs, in tokens.
std::uint64_t needed_memory(const request& req);

/// Returns the least busy servers whose memory together holds the prompt: members
/// that reserve memory, and the one that runs the prompt. Members come in name
/// order before the runner, whose name is last; every entry thus reserves in the
/// same order. Refuses as too large if the list holds too little memory.
choice_result choose_group(const request& req, std::span<const candidate> list,
                           bool isolated);

} // namespace pistachiopost
