/// \file
/// Client of a gateway that relays tables of the store.
#pragma once

#include "connection/http_client.hpp"
#include "process/stored_row.hpp"

#include <cstdint>
#include <string_view>

namespace pistachiopost {

/// One connection to a relay. Not thread-safe.
class relay_client
{
public:
    explicit relay_client(endpoint relay);

    /// Returns the changes of `table` after `since`, all rows if it is 0; waits up to
    /// `wait` for them. Throws store_error or history_compacted.
    row_batch changes(std::string_view table, std::uint64_t since, milliseconds wait);

private:
    http_client http_;
};

} // namespace pistachiopost
