/// \file
/// Rows and transactions of the platform's table service, as JSON text.
#pragma once

#include "connection/http_client.hpp"
#include "request/claim.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// Calls the table service. Used by one task at a time; all members throw
/// table_error, after which a transaction may have taken effect.
class table_rows
{
public:
    /// Calls wait at most `timeout`.
    table_rows(const endpoint& where, milliseconds timeout);

    /// Returns the value of a row, if there is one.
    std::optional<std::string> read(std::string_view table, std::string_view key);
    /// Applies a JSON list of operations as one transaction; returns the positions
    /// whose condition failed, none if it was applied.
    std::vector<std::size_t> transact(std::string_view operations);

private:
    http_client http_;
};

} // namespace pistachiopost
