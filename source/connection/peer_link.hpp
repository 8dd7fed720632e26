/// \file
/// UDP exchange between gateways of the load that each has in flight, of digests between
/// cells, and of what crashes backend servers.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/admission/dispatcher.hpp"
#include "process/crash_tracker.hpp"
#include "process/membership/gateway_directory.hpp"
#include "process/stop_flag.hpp"

#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace pistachiopost {

/// Sends this gateway's load to its peers and receives theirs. Each datagram carries the
/// complete state, so the loss of one is harmless.
class peer_link
{
public:
    /// Binds the UDP socket to the address of this gateway. Throws connection_error.
    peer_link(gateway_directory& directory, dispatcher& dispatch, crash_tracker& crashes,
              service_retry_budgets& budgets);

    /// Sends reports until `stop` is set. Runs on one task.
    void run_sender(stop_flag& stop);
    /// Receives reports until `stop_fd` is readable. Runs on one task.
    void run_receiver(int stop_fd);

private:
    /// What the last report contained.
    struct sent_report
    {
        std::uint64_t load_generation = 0;
        store_status store;
        std::uint64_t crash_generation = 0;
        std::set<std::string, std::less<>> zones;
        time_point sent_at;
    };

    void send_report(time_point now);
    std::vector<endpoint> take_newcomers();
    void send_digest(time_point now);
    void send(load_report_message message, std::span<const endpoint> receivers);
    /// Sends a message that its first recipients in other zones forward there.
    void send_by_zone(load_report_message message,
                      std::span<const report_receiver> receivers);
    void send_bytes(std::string_view bytes, std::span<const endpoint> receivers) const;
    void receive(std::string_view bytes, const endpoint& sender, time_point now);

    gateway_directory& directory_;
    std::uint64_t boot_;
    unique_fd sock_;
    dispatcher& dispatcher_;
    crash_tracker& crashes_;
    service_retry_budgets& budgets_;
    std::uint64_t sequence_ = 0;
    std::uint64_t forwarder_turn_ = 0;
    std::optional<sent_report> last_;
    time_point digest_sent_at_;
    std::optional<time_point> sent_to_all_at_;
    std::mutex mutex_;
    std::vector<endpoint> newcomers_; ///< Of this cell; they wait for a first report.
};

} // namespace pistachiopost
