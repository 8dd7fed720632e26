/// \file
/// Helper of tests that listen on the loopback interface.
#pragma once

#include "connection/unique_fd.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

namespace pistachiopost {

/// Returns the address of a listener on 127.0.0.1 whose port the kernel chose.
inline endpoint loopback_endpoint(const unique_fd& listener)
{
    sockaddr_in addr{};
    socklen_t n = sizeof addr;
    ::getsockname(listener.get(), reinterpret_cast<sockaddr*>(&addr), &n);
    return {"127.0.0.1", ntohs(addr.sin_port)};
}

} // namespace pistachiopost
