/// \file
/// Row reads and transactions of the platform's table service, as JSON text.
#pragma once

#include "connection/http_client.hpp"
#include "request/claim.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Calls the table service. Not thread-safe. All members throw table_error, after which
/// a transaction may have taken effect.
class table_rows
{
public:
    /// `timeout` bounds each call.
    table_rows(const endpoint& remote, milliseconds timeout);

    /// Returns the value of a row, if it exists.
    std::optional<std::string> read(std::string_view table, std::string_view key);
    /// Applies a JSON array of operations as one transaction. Returns the positions of
    /// the operations whose condition failed; empty if the transaction was applied.
    std::vector<std::size_t> transact(std::string_view operations);

private:
    http_client http_;
};

} // namespace pistachiopost
