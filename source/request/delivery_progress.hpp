/// \file
/// Tracks how much of an answer has been delivered to the caller.
#pragma once

#include "request/attempt.hpp"

#include <cstdint>
#include <string_view>

namespace pistachiopost {

/// How a received chunk relates to the part already delivered.
enum class chunk_disposition
{
    deliver,        ///< Continues the answer: forward it.
    duplicate,      ///< Already delivered: drop it.
    out_of_sequence ///< Leaves a gap or partly overlaps: fail the attempt.
};

/// Delivered offset of one answer, across all attempts.
class delivery_progress
{
public:
    /// Classifies a chunk of `count` units at `offset` and advances if it is to be
    /// delivered.
    chunk_disposition accept(std::uint64_t offset, std::uint64_t count);
    /// Returns whether exactly `total` units have been delivered.
    [[nodiscard]] bool completes(std::uint64_t total) const { return total == next_; }
    /// Returns the offset of the next unit to deliver.
    [[nodiscard]] std::uint64_t next_offset() const { return next_; }

private:
    std::uint64_t next_ = 0;
};

} // namespace pistachiopost
