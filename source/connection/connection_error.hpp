/// \file
/// Error type of the connection layer.
#pragma once

#include <stdexcept>

namespace pistachiopost {

/// Thrown when a socket operation, a link or a remote call fails. The message names the
/// operation and, where known, the peer's address.
class connection_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace pistachiopost
