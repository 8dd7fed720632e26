/// \file
/// Rows of the platform's store.
#pragma once

#include "process/store_version.hpp"
#include "request/time_types.hpp"

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace pistachiopost {

/// One row of a table.
struct stored_row
{
    std::string key;
    std::string value;
    store_version version;
    bool removed = false; ///< In change batches: the row was deleted.
};

/// A snapshot of a table, or the changes up to a version.
struct row_batch
{
    std::vector<stored_row> rows;
    store_version version; ///< The store's latest version at that time.
    bool relayed = false;  ///< Received from another gateway.
    /// Time since the store recovered from an outage that the reader may have missed.
    std::optional<milliseconds> recovered_ago;
};

/// Thrown if a call to the store fails; the message names the call and the reason.
class store_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Thrown if the store no longer has the requested changes; the table must be read again.
class history_compacted : public store_error
{
public:
    using store_error::store_error;
};

/// Thrown if a call that waits for changes was given up; the store may be sound.
class poll_abandoned : public store_error
{
public:
    using store_error::store_error;
};

} // namespace pistachiopost
