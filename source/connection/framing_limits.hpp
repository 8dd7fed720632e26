/// \file
/// Limits on the framing of a chunked body.
#pragma once

#include <cstdint>
#include <optional>

namespace pistachiopost {

/// Bounds what a caller can send beside the content of a body. None depends on the number
/// of chunks: a sound body may be cut in any way.
struct framing_limits
{
    /// Bytes of a chunk line that are not counted in `max_framing_bytes`: its size with
    /// leading zeros and a short extension.
    static constexpr std::uint32_t uncounted_line_bytes = 64;

    std::uint32_t max_chunk_line_bytes = 4'096; ///< Size and extensions of one chunk.
    /// None if only the limit on heads, which includes trailers, bounds their number.
    std::optional<std::uint32_t> max_trailer_fields;
    /// Counted bytes of the chunk lines of one body, in excess of those of its content.
    std::uint64_t max_framing_bytes = 65'536;
};

} // namespace pistachiopost
