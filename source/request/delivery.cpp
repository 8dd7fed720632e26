#include "request/delivery.hpp"

namespace pistachiopost {

chunk_verdict delivery::accept(std::uint64_t offset, std::uint64_t count)
{
    if (offset == next_)
    {
        next_ += count;
        return chunk_verdict::deliver;
    }
    const bool whole_piece_known = offset < next_ && offset + count <= next_;
    return whole_piece_known ? chunk_verdict::repeated : chunk_verdict::broken;
}

} // namespace pistachiopost
