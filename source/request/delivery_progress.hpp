/// \file
/// Tracks which part of an answer its caller has received.
#pragma once

#include "request/attempt.hpp"

#include <cstdint>
#include <string_view>

namespace pistachiopost {

/// What to do with an arriving chunk.
enum class chunk_disposition
{
    deliver,        ///< It continues the answer: pass it on.
    duplicate,      ///< The caller already has it: drop it.
    out_of_sequence ///< It leaves a gap or overlaps in part: fail the attempt.
};

/// Offsets of one answer across all its attempts.
class delivery_progress
{
public:
    /// Judges a chunk of `count` units at `offset`; counts it if delivered.
    chunk_disposition accept(std::uint64_t offset, std::uint64_t count);
    /// Returns whether an end mark with `total` units matches what arrived.
    [[nodiscard]] bool completes(std::uint64_t total) const { return total == next_; }
    /// Returns the number of units delivered so far.
    [[nodiscard]] std::uint64_t next_offset() const { return next_; }

private:
    std::uint64_t next_ = 0;
};

} // namespace pistachiopost
