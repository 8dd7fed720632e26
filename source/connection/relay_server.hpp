/// \file
/// Answers other gateways for tables of the store that this one follows.
#pragma once

#include "connection/status_server.hpp"
#include "process/table_cache.hpp"

#include <functional>
#include <string_view>

namespace pistachiopost {

/// Returns the cache of a table, or null if it is not followed.
using find_table = std::function<table_cache*(std::string_view table)>;

/// Answers one request of a relay_client; waits for changes as long as it asks.
status_response answer_relay_request(std::string_view body, const find_table& find);

} // namespace pistachiopost
