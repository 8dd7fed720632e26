/// \file
/// Limits on the framing of a chunked body.
#pragma once

#include <cstdint>

namespace pistachiopost {

/// Bounds what a caller can send beside the content of a body.
struct framing_limits
{
    std::uint32_t max_chunk_line_bytes = 4'096; ///< Size and extensions of one chunk.
    std::uint32_t max_trailer_fields = 64;
    /// Chunk lines and trailers of one body, in excess of the bytes of its content.
    std::uint64_t max_framing_bytes = 65'536;
};

} // namespace pistachiopost
