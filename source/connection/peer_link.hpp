/// \file
/// Datagrams between gateways: what each has in flight, and requests that crash backend
/// servers.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/dispatcher.hpp"
#include "process/stop_flag.hpp"

#include <mutex>
#include <string>
#include <vector>

namespace pistachiopost {

/// Sends this gateway's load to its peers and takes over theirs. Each datagram holds the
/// whole state, so that a lost one does no harm.
class peer_link
{
public:
    /// Opens the socket. Throws connection_error.
    peer_link(std::string name, const endpoint& own, dispatcher& work,
              crash_tracker& crashes);

    /// Sets whom to send to.
    void set_peers(const std::vector<endpoint>& peers);
    /// Sends until `stop`. One task runs it.
    void run_sender(stop_flag& stop);
    /// Receives until the stop descriptor is readable. One task runs it.
    void run_receiver(int stop_fd);

private:
    void take(std::string_view bytes);
    void send_report(const std::string& bytes);

    std::string name_;
    std::uint64_t boot_;
    unique_fd sock_;
    dispatcher& work_;
    crash_tracker& crashes_;
    std::mutex mutex_;
    std::vector<endpoint> peers_;
};

} // namespace pistachiopost
