#include "connection/peer_link.hpp"

#include "connection/codec_error.hpp"
#include "connection/load_report_codec.hpp"
#include "connection/tcp_stream.hpp"
#include "process/logging.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <random>

namespace pistachiopost {

namespace {

// Minimum interval between two messages: a few round trips between availability zones.
constexpr milliseconds min_interval{10};
// Maximum interval while the load changes: a fraction of the time of the shortest answer.
constexpr milliseconds change_interval{50};
// Interval while the load is unchanged: half of the time for which peers consider a
// report valid.
constexpr milliseconds heartbeat_interval{500};
constexpr std::size_t max_datagram_bytes = 32'768; // enough for 600 backends

} // namespace

peer_link::peer_link(std::string name, const endpoint& local, dispatcher& dispatch,
                     crash_tracker& crashes)
    : name_(std::move(name)), boot_(std::random_device()()),
      sock_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      dispatcher_(dispatch), crashes_(crashes)
{
    const auto addr = to_sockaddr(local);
    if (!sock_ ||
        ::bind(sock_.get(), reinterpret_cast<const sockaddr*>(&addr), sizeof addr) != 0)
    {
        throw connection_error("cannot bind UDP port for peers " + to_string(local) +
                               ": " + std::strerror(errno));
    }
}

void peer_link::set_peers(const std::vector<endpoint>& peers)
{
    const std::lock_guard lock(mutex_);
    peers_ = peers;
}

void peer_link::run_sender(stop_flag& stop)
{
    std::uint64_t count = 0;
    auto sent_at = steady::now() - heartbeat_interval;
    load_report_message last;
    while (!stop.wait_for(min_interval))
    {
        dispatcher_.wait_until_report_due(change_interval);
        const auto now = steady::now();
        auto message = dispatcher_.report(now);
        message.crashes = crashes_.recent(now);
        const bool changed =
            message.loads != last.loads || message.crashes != last.crashes;
        if (!changed && now - sent_at < heartbeat_interval)
        {
            continue;
        }
        sent_at = now;
        message.gateway = name_;
        message.boot = boot_;
        message.sequence = ++count;
        send_report(encode_load_report(message));
        last = std::move(message);
    }
}

void peer_link::send_report(const std::string& bytes)
{
    std::vector<endpoint> peers;
    {
        const std::lock_guard lock(mutex_);
        peers = peers_;
    }
    for (const auto& it : peers)
    {
        const auto addr = to_sockaddr(it);
        // A send error loses only this datagram: the next one carries the complete state.
        (void)::sendto(sock_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                       reinterpret_cast<const sockaddr*>(&addr), sizeof addr);
    }
}

void peer_link::run_receiver(int stop_fd)
{
    std::string buf(max_datagram_bytes, '\0');
    constexpr std::chrono::hours max_wait{24};
    while (wait_readable(sock_.get(), stop_fd, steady::now() + max_wait) !=
           wake_cause::second)
    {
        const auto n = ::recv(sock_.get(), buf.data(), buf.size(), MSG_DONTWAIT);
        if (n <= 0)
        {
            continue;
        }
        try
        {
            dispatcher_.apply_report(decode_load_report(std::string_view(buf).substr(
                                         0, static_cast<std::size_t>(n))),
                                     steady::now());
        }
        catch (const codec_error& it)
        {
            log_event(log_level::warn, "ignored malformed load report from peer",
                      {{"fault", it.what()}});
        }
    }
}

} // namespace pistachiopost
