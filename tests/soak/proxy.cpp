#include "soak/proxy.hpp"

#include <thread>

namespace pistachiopost::soak {

namespace {

constexpr milliseconds link_delay{100};
// Interval at which an idle connection checks for a change of the mode.
constexpr milliseconds mode_poll_interval{50};

} // namespace

proxy::proxy(endpoint to)
    : target_(std::move(to)), server_([this](unique_fd sock) { relay(std::move(sock)); })
{
}

bool proxy::forwards(bool request) const
{
    const auto mode = mode_.load();
    return mode != proxy_mode::silent &&
           mode != (request ? proxy_mode::cut_requests : proxy_mode::cut_answers);
}

void proxy::relay(unique_fd sock)
{
    const auto generation = generation_.load();
    tcp_stream client(std::move(sock));
    if (mode_ == proxy_mode::reset)
    {
        reset_connection(client);
        return;
    }
    tcp_stream server(connect_tcp(target_, 1'000));
    bool answers_lost = false;
    for (;;)
    {
        const auto woken =
            wait_readable(client.fd(), server.fd(), steady::now() + mode_poll_interval);
        if (mode_ == proxy_mode::reset || generation != generation_)
        {
            reset_connection(client);
            reset_connection(server);
            return;
        }
        if (woken == wake_cause::timeout)
        {
            if (peer_closed(client.fd()))
            {
                return;
            }
            continue;
        }
        if (mode_ == proxy_mode::delay)
        {
            std::this_thread::sleep_for(link_delay);
        }
        const bool request = woken == wake_cause::first;
        auto& from = request ? client : server;
        auto& to = request ? server : client;
        const bool open = from.receive();
        answers_lost = answers_lost || (!request && mode_ == proxy_mode::lose_answers);
        if (forwards(request) && (request || !answers_lost))
        {
            to.send(from.buffered(), steady::now() + send_timeout);
        }
        from.consume(from.buffered().size());
        if (!open)
        {
            return; // close both sides; this ends an answer that has no length
        }
    }
}

} // namespace pistachiopost::soak
