/// \file
/// Rows of the platform's store, as the product's tables keep them.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace pistachiopost {

/// One row of a table.
struct stored_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false; ///< Changes only: the row is gone.
};

/// Rows as of one moment, or the changes up to it.
struct row_batch
{
    std::vector<stored_row> rows;
    std::uint64_t version = 0; ///< The store's newest version at that moment.
};

/// A call to the store failed; the message names the call and the reason.
class store_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// The store no longer has the changes that were asked for; the table must be read anew.
class history_compacted : public store_error
{
public:
    using store_error::store_error;
};

} // namespace pistachiopost
