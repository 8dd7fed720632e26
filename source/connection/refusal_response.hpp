/// \file
/// Mapping of refusals to HTTP responses.
#pragma once

#include "request/refusal.hpp"

#include <string>

namespace pistachiopost {

int http_status(refusal_reason reason);

/// Returns the JSON error body of a refusal, with its type, message, execution state and
/// retry delay.
std::string refusal_json(const refusal& why);

} // namespace pistachiopost
