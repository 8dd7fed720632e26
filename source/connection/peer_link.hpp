/// \file
/// UDP exchange between gateways of the load that each has in flight and of the requests
/// that crashed backend servers.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/dispatcher.hpp"
#include "process/stop_flag.hpp"

#include <mutex>
#include <string>
#include <vector>

namespace pistachiopost {

/// Sends this gateway's load to its peers and receives theirs. Each datagram carries the
/// complete state, so the loss of one is harmless.
class peer_link
{
public:
    /// Binds the UDP socket to `local`. Throws connection_error.
    peer_link(std::string name, const endpoint& local, dispatcher& dispatch,
              crash_tracker& crashes);

    /// Replaces the list of peers to send to. Thread-safe.
    void set_peers(const std::vector<endpoint>& peers);
    /// Sends reports until `stop` is set. Runs on one task.
    void run_sender(stop_flag& stop);
    /// Receives reports until `stop_fd` is readable. Runs on one task.
    void run_receiver(int stop_fd);

private:
    void take(std::string_view bytes);
    void send_report(const std::string& bytes);

    std::string name_;
    std::uint64_t boot_;
    unique_fd sock_;
    dispatcher& dispatcher_;
    crash_tracker& crashes_;
    std::mutex mutex_;
    std::vector<endpoint> peers_;
};

} // namespace pistachiopost
