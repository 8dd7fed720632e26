/// \file
/// Errors of decoding.
#pragma once

#include <stdexcept>

namespace pistachiopost {

/// A peer sent something that cannot be decoded.
class codec_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace pistachiopost
