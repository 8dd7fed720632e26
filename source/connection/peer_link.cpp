#include "connection/peer_link.hpp"

#include "connection/codec_error.hpp"
#include "connection/tcp_stream.hpp"
#include "process/logging.hpp"

#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <random>

namespace pistachiopost {

namespace {

using nlohmann::json;

// Between any two messages: a few round trips between availability zones.
constexpr milliseconds least_interval{10};
// Between messages while the load changes: a fraction of the shortest answer.
constexpr milliseconds busy_interval{50};
// Between messages while it does not: half of the time for which a word counts.
constexpr milliseconds idle_interval{500};
constexpr std::size_t max_datagram = 32'768; // bytes; 600 backend servers fit

json encode_loads(const load_report_message& message)
{
    auto loads = json::array();
    for (const auto& [backend, load] : message.loads)
    {
        loads.push_back({backend, load.requests, load.short_requests, load.memory_tokens,
                         static_cast<std::uint32_t>(load.read_ms),
                         static_cast<std::uint32_t>(load.unseen_ms)});
    }
    return loads;
}

json encode_crashes(const load_report_message& message)
{
    auto crashes = json::array();
    for (const auto& it : message.crashes)
    {
        crashes.push_back({it.fingerprint, it.backend});
    }
    return crashes;
}

std::string encode(const load_report_message& message)
{
    const auto body = json::array({message.gateway, message.boot, message.count,
                                   encode_loads(message), encode_crashes(message)});
    const auto bytes = json::to_msgpack(body);
    return {bytes.begin(), bytes.end()};
}

load_report_message decode(std::string_view bytes)
{
    try
    {
        const auto body = json::from_msgpack(bytes);
        load_report_message it;
        it.gateway = body.at(0);
        it.boot = body.at(1);
        it.count = body.at(2);
        for (const auto& load : body.at(3))
        {
            it.loads.push_back(
                {load.at(0),
                 {load.at(1), load.at(2), load.at(3), load.at(4), load.at(5)}});
        }
        for (const auto& crash : body.at(4))
        {
            it.crashes.push_back({crash.at(0), crash.at(1)});
        }
        return it;
    }
    catch (const json::exception& ex)
    {
        throw codec_error(std::string("message of a gateway cannot be read: ") +
                          ex.what());
    }
}

} // namespace

peer_link::peer_link(std::string name, const endpoint& own, dispatcher& work,
                     crash_tally& crashes)
    : name_(std::move(name)), boot_(std::random_device()()),
      sock_(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)), work_(work),
      crashes_(crashes)
{
    const auto addr = to_sockaddr(own);
    if (!sock_ ||
        ::bind(sock_.get(), reinterpret_cast<const sockaddr*>(&addr), sizeof addr) != 0)
    {
        throw connection_error("cannot open the gateways' port " + to_string(own) + ": " +
                               std::strerror(errno));
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
    auto sent_at = steady::now() - idle_interval;
    load_report_message last;
    while (!stop.wait_for(least_interval))
    {
        work_.wait_for_news(busy_interval);
        const auto now = steady::now();
        auto message = work_.report(now);
        message.crashes = crashes_.recent(now);
        const bool changed =
            message.loads != last.loads || message.crashes != last.crashes;
        if (!changed && now - sent_at < idle_interval)
        {
            continue;
        }
        sent_at = now;
        message.gateway = name_;
        message.boot = boot_;
        message.count = ++count;
        send_report(encode(message));
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
        // A full link loses the datagram; the next one holds the whole state again.
        (void)::sendto(sock_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                       reinterpret_cast<const sockaddr*>(&addr), sizeof addr);
    }
}

void peer_link::run_receiver(int stop_fd)
{
    std::string buf(max_datagram, '\0');
    constexpr std::chrono::hours forever{24};
    while (wait_readable(sock_.get(), stop_fd, steady::now() + forever) !=
           wait_result::second)
    {
        const auto n = ::recv(sock_.get(), buf.data(), buf.size(), MSG_DONTWAIT);
        if (n <= 0)
        {
            continue;
        }
        try
        {
            work_.hear(
                decode(std::string_view(buf).substr(0, static_cast<std::size_t>(n))),
                steady::now());
        }
        catch (const codec_error& it)
        {
            log_event(log_level::warn, "message of a gateway ignored",
                      {{"fault", it.what()}});
        }
    }
}

} // namespace pistachiopost
