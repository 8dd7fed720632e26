#include "soak/proxy.hpp"

#include <thread>

namespace pistachiopost::soak {

namespace {

constexpr milliseconds link_delay{100};
// Interval at which an idle connection checks for a change of the mode.
constexpr milliseconds look_interval{50};

} // namespace

proxy::proxy(endpoint to)
    : to_(std::move(to)), server_([this](unique_fd sock) { pass_on(std::move(sock)); })
{
}

bool proxy::lets_through(bool request) const
{
    const auto mode = mode_.load();
    return mode != proxy_mode::silent &&
           mode != (request ? proxy_mode::cut_requests : proxy_mode::cut_answers);
}

void proxy::pass_on(unique_fd sock)
{
    const auto generation = generation_.load();
    tcp_stream near(std::move(sock));
    if (mode_ == proxy_mode::reset)
    {
        reset_connection(near);
        return;
    }
    tcp_stream far(connect_tcp(to_, 1'000));
    for (;;)
    {
        const auto woken =
            wait_readable(near.fd(), far.fd(), steady::now() + look_interval);
        if (mode_ == proxy_mode::reset || generation != generation_)
        {
            reset_connection(near);
            reset_connection(far);
            return;
        }
        if (woken == wake_cause::timeout)
        {
            if (peer_closed(near.fd()))
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
        auto& from = request ? near : far;
        auto& to = request ? far : near;
        const bool open = from.receive();
        if (lets_through(request))
        {
            to.send(from.buffered(), steady::now() + send_patience);
        }
        from.consume(from.buffered().size());
        if (!open)
        {
            return; // close both sides; this ends an answer that has no length
        }
    }
}

} // namespace pistachiopost::soak
