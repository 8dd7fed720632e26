#include "connection/peer_link.hpp"

#include "connection/codec_error.hpp"
#include "connection/load_report_codec.hpp"
#include "connection/tcp_stream.hpp"
#include "process/crash_log.hpp"
#include "process/logging.hpp"
#include "process/membership/report_fanout.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <random>
#include <utility>

namespace pistachiopost {

namespace {

// Minimum interval between two messages: a few round trips between availability zones.
constexpr milliseconds min_interval{10};
// Maximum interval while the load changes: a fraction of the time of the shortest answer.
constexpr milliseconds change_interval{50};
// Interval while the load is unchanged: half of the time for which peers consider a
// report valid.
constexpr milliseconds heartbeat_interval{500};
// Interval between digests: a fraction of the time that a request waits before it leaves
// its cell and of the duration of its answer.
constexpr milliseconds digest_interval{250};
// Interval between reports to all gateways, also silent ones and those of other cells.
constexpr milliseconds report_to_all_interval{5'000};
constexpr std::size_t max_datagram_bytes = 32'768; // enough for 600 backends

endpoint to_endpoint(const sockaddr_in& addr)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &addr.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(addr.sin_port)};
}

} // namespace

peer_link::peer_link(gateway_directory& directory, dispatcher& dispatch,
                     crash_tracker& crashes, service_retry_budgets& budgets)
    : directory_(directory), boot_(std::random_device()()),
      sock_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      dispatcher_(dispatch), crashes_(crashes), budgets_(budgets)
{
    const auto& local = directory.self().address;
    const auto addr = to_sockaddr(local);
    if (!sock_ ||
        ::bind(sock_.get(), reinterpret_cast<const sockaddr*>(&addr), sizeof addr) != 0)
    {
        throw connection_error("cannot bind UDP port for peers " + to_string(local) +
                               ": " + std::strerror(errno));
    }
}

void peer_link::run_sender(stop_flag& stop)
{
    while (!stop.wait_for(min_interval))
    {
        dispatcher_.wait_until_report_due(change_interval);
        const auto now = steady::now();
        dispatcher_.set_cells(directory_.has_cells());
        send_report(now);
        send_digest(now);
    }
}

void peer_link::send_report(time_point now)
{
    sent_report next{dispatcher_.load_generation(), directory_.own_status(now),
                     crashes_.generation(), dispatcher_.zones_in_use(now), now};
    const bool to_all =
        directory_.is_complete() &&
        (!sent_to_all_at_ || now - *sent_to_all_at_ >= report_to_all_interval);
    const bool changed = !last_ || next.load_generation != last_->load_generation ||
                         next.store != last_->store ||
                         next.crash_generation != last_->crash_generation;
    const bool due = changed || now - last_->sent_at >= heartbeat_interval;
    const auto newcomers = take_newcomers();
    if (!to_all && !due && newcomers.empty())
    {
        return;
    }
    auto message = dispatcher_.report(now);
    message.store = next.store;
    message.crashes = crashes_.news(now);
    message.retries = budgets_.take_counts();
    if (to_all)
    {
        sent_to_all_at_ = now;
        send(std::move(message), directory_.all_others());
    }
    else if (due)
    {
        // Zones that are no longer used must learn that, too.
        auto zones = next.zones;
        if (last_)
        {
            zones.insert(last_->zones.begin(), last_->zones.end());
        }
        send_by_zone(std::move(message), directory_.report_receivers(zones, now));
    }
    else
    {
        send(std::move(message), newcomers);
        return;
    }
    last_ = std::move(next);
}

std::vector<endpoint> peer_link::take_newcomers()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(newcomers_, {});
}

void peer_link::send_digest(time_point now)
{
    if (now - digest_sent_at_ < digest_interval)
    {
        return;
    }
    const auto receivers = directory_.digest_receivers(now);
    if (receivers.empty())
    {
        return;
    }
    digest_sent_at_ = now;
    auto message = dispatcher_.digest(now);
    message.store = directory_.own_status(now);
    message.crashes = crashes_.news(now);
    send_by_zone(std::move(message), receivers);
}

void peer_link::send_by_zone(load_report_message message,
                             std::span<const report_receiver> receivers)
{
    message.forward = true;
    send(std::move(message),
         first_recipients(receivers, directory_.self().zone, forwarder_turn_++));
}

void peer_link::send(load_report_message message, std::span<const endpoint> receivers)
{
    const auto& self = directory_.self();
    message.gateway = self.name;
    message.zone = self.zone;
    message.cores = self.cores;
    message.address = self.address;
    message.boot = boot_;
    message.sequence = ++sequence_;
    send_bytes(encode_load_report(message), receivers);
}

void peer_link::send_bytes(std::string_view bytes,
                           std::span<const endpoint> receivers) const
{
    for (const auto& it : receivers)
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
        sockaddr_in addr{};
        socklen_t addr_bytes = sizeof addr;
        const auto n = ::recvfrom(sock_.get(), buf.data(), buf.size(), MSG_DONTWAIT,
                                  reinterpret_cast<sockaddr*>(&addr), &addr_bytes);
        if (n <= 0)
        {
            continue;
        }
        try
        {
            receive(std::string_view(buf).substr(0, static_cast<std::size_t>(n)),
                    to_endpoint(addr), steady::now());
        }
        catch (const codec_error& it)
        {
            log_event(log_level::warn, "ignored malformed load report from peer",
                      {{"fault", it.what()}});
        }
    }
}

void peer_link::receive(std::string_view bytes, const endpoint& sender, time_point now)
{
    const auto message = decode_load_report(bytes);
    const auto& origin = message.address.port == 0 ? sender : message.address;
    // What another gateway of this zone has forwarded comes from its address.
    if (message.forward && origin == sender && message.zone != directory_.self().zone)
    {
        send_bytes(bytes, directory_.zone_peers(now));
    }
    const gateway_record record{message.gateway, origin, message.zone, message.cores};
    if (directory_.record_message(record, message.store, now) &&
        directory_.shares_cell(message.zone))
    {
        const std::lock_guard lock(mutex_);
        newcomers_.push_back(origin);
        dispatcher_.request_report();
    }
    if (!message.is_digest && directory_.shares_cell(message.zone))
    {
        budgets_.apply_counts(message.gateway, message.boot, message.retries, now);
    }
    for (const auto& it : crashes_.apply(message.crashes, now))
    {
        log_blocked(it, message.gateway);
    }
    dispatcher_.apply_report(message, now);
}

} // namespace pistachiopost
