/// \file
/// Errors of the connection layer.
#pragma once

#include <stdexcept>

namespace pistachiopost {

/// A socket, link or remote call failed. The message names the peer's address
/// and the operation.
class connection_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace pistachiopost
