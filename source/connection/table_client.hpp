/// \file
/// Client of the platform's table service for claims and configuration versions.
#pragma once

#include "connection/table_rows.hpp"
#include "request/claim.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace pistachiopost {

/// A claim_table backed by the table service. Not thread-safe.
class table_client
{
public:
    /// `timeout` bounds each call.
    table_client(const endpoint& remote, milliseconds timeout);

    /// Applies all writes or none and returns the positions of those whose condition
    /// failed; see claim_table. Throws table_error.
    std::vector<std::size_t> commit(std::span<const claim_write> writes);
    /// Returns the stored claim with the customer and key of `wanted`, if any. Throws
    /// table_error.
    std::optional<claim_record> find(const claim_record& wanted);

    /// Returns the current configuration version, 0 if there is none. Throws
    /// table_error.
    std::uint64_t head_version();
    /// Returns the document of a configuration version. Throws table_error.
    std::string configuration(std::uint64_t version);

private:
    table_rows rows_;
};

static_assert(claim_table<table_client>);

} // namespace pistachiopost
