/// \file
/// Client of a gateway that relays tables of the store.
#pragma once

#include "connection/http_client.hpp"
#include "process/stored_row.hpp"

#include <string_view>

namespace pistachiopost {

/// One connection to a relay. Not thread-safe.
class relay_client
{
public:
    // Three hundred round trips within a zone. A relay that is slower is treated as
    // failed: another one or the store itself answers sooner.
    static constexpr milliseconds default_timeout{300};

    /// `timeout` bounds each call in addition to its wait.
    explicit relay_client(endpoint relay, milliseconds timeout = default_timeout);

    /// Returns the changes of `table` after `since`, all rows if it is the default; waits
    /// up to `wait` for them. Throws store_error or history_compacted.
    row_batch changes(std::string_view table, const store_version& since,
                      milliseconds wait);

private:
    http_client http_;
};

} // namespace pistachiopost
