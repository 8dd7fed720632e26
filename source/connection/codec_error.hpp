/// \file
/// Error type of the message decoders.
#pragma once

#include <stdexcept>

namespace pistachiopost {

/// Thrown when a message from a peer cannot be decoded.
class codec_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace pistachiopost
