#include "request/delivery_progress.hpp"

namespace pistachiopost {

chunk_disposition delivery_progress::accept(std::uint64_t offset, std::uint64_t count)
{
    if (offset == next_)
    {
        next_ += count;
        return chunk_disposition::deliver;
    }
    const bool already_delivered = offset < next_ && offset + count <= next_;
    return already_delivered ? chunk_disposition::duplicate
                             : chunk_disposition::out_of_sequence;
}

} // namespace pistachiopost
