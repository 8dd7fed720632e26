/// \file
/// The HTTP form of a refusal.
#pragma once

#include "request/refusal.hpp"

#include <string>

namespace pistachiopost {

/// Returns the HTTP status of a refusal.
int http_status(refusal_reason reason);

/// Returns the JSON body of a refusal: type, message, execution, retry time.
std::string refusal_json(const refusal& why);

} // namespace pistachiopost
