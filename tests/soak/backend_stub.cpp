#include "soak/backend_stub.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace pistachiopost::soak {

namespace {

// Well below the latency targets of all routes.
constexpr milliseconds event_pause{6};
constexpr milliseconds call_time{8};

} // namespace

void run_record::add(const std::string& request, run it)
{
    const std::lock_guard lock(mutex_);
    runs_[request].push_back(std::move(it));
}

std::map<std::string, std::vector<run_record::run>> run_record::take()
{
    const std::lock_guard lock(mutex_);
    return std::move(runs_);
}

void run_record::add_reservation(reservation it)
{
    const std::lock_guard lock(mutex_);
    reservations_.push_back(std::move(it));
}

std::vector<run_record::reservation> run_record::take_reservations()
{
    const std::lock_guard lock(mutex_);
    return std::move(reservations_);
}

std::string event_text(std::string_view id, int n)
{
    return fmt::format("id: {}\ndata: {}-{}\n\n", n, id, n);
}

std::string answer_text(std::string_view id)
{
    return fmt::format("answer to {}", id);
}

backend_stub::backend_stub(std::string id, run_record& record)
    : id_(std::move(id)), record_(record), server_([this](unique_fd sock) {
          serve_requests(std::move(sock), server_.stop_fd(),
                         [this](auto& stream, auto& it) { return answer(stream, it); });
      })
{
}

std::size_t backend_stub::count_reservations()
{
    const std::lock_guard lock(mutex_);
    std::erase_if(reservations_,
                  [now = steady::now()](const auto& it) { return it.second <= now; });
    return reservations_.size();
}

std::string backend_stub::stamp_fields(const received_request& request) const
{
    return fmt::format("Request-Id: {}\r\nResponse-Stamp: {}\r\n",
                       request.head.value("Request-Id"), id_);
}

bool backend_stub::answer(tcp_stream& stream, const received_request& request)
{
    const auto& head = request.head;
    if (head.target == "/v1/order")
    {
        return answer_order(stream, request);
    }
    if (const auto wanted = head.value("Expect-Instance");
        !wanted.empty() && wanted != id_)
    {
        send_answer(stream, 421, stamp_fields(request), "");
        return true;
    }
    const auto mode = mode_.load();
    if (mode == backend_mode::full)
    {
        send_answer(stream, 503, stamp_fields(request) + "Not-Run: 1\r\n", "");
        return true;
    }
    const std::string id(head.value("Request-Id"));
    record_.add(id, {id_, steady::now(), std::string(head.value("Tenant")), head.target,
                     request.body.size(), head.find("Api-Key") != nullptr});
    if (mode == backend_mode::silent)
    {
        wait_readable(stream.fd(), server_.stop_fd(), steady::now() + seconds{10});
        return false;
    }
    if (mode == backend_mode::failing && served_++ % 2 == 0)
    {
        send_answer(stream, 500, stamp_fields(request), "failed");
        return true;
    }
    if (!head.value("Token-Count").empty())
    {
        return answer_stream(stream, request);
    }
    std::this_thread::sleep_for(call_time);
    if (mode == backend_mode::resetting)
    {
        reset_connection(stream);
        return false;
    }
    send_answer(stream, 200, stamp_fields(request), answer_text(id));
    return true;
}

bool backend_stub::answer_order(tcp_stream& stream, const received_request& request)
{
    const auto order = nlohmann::json::parse(request.body);
    const std::string name = order.at("id");
    {
        const std::lock_guard lock(mutex_);
        if (order.at("op") == "reserve")
        {
            const milliseconds hold{order.at("hold-ms").get<milliseconds::rep>()};
            const auto now = steady::now();
            if (!reservations_.contains(name))
            {
                record_.add_reservation({name, id_, now});
            }
            reservations_[name] = now + hold;
        }
        else
        {
            reservations_.erase(name);
        }
    }
    send_answer(stream, 200, "Content-Type: application/json\r\n", R"({"available":1})");
    return true;
}

bool backend_stub::answer_stream(tcp_stream& stream, const received_request& request)
{
    const std::string id(request.head.value("Request-Id"));
    const auto last = request.head.value("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(std::string(last)) + 1;
    const auto until = steady::now() + send_timeout;
    stream.send(
        "HTTP/1.1 200 OK\r\n" + stamp_fields(request) +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        until);
    const bool breaks = mode_ == backend_mode::resetting;
    for (int n = first; n <= stream_events; ++n)
    {
        std::this_thread::sleep_for(event_pause);
        auto event = event_text(id, n);
        if (breaks && n == first + 3)
        {
            event.resize(event.size() / 2); // in the middle of an event
            stream.send(fmt::format("{:x}\r\n{}", event.size() + 9, event), until);
            reset_connection(stream);
            return false;
        }
        stream.send(fmt::format("{:x}\r\n{}\r\n", event.size(), event), until);
    }
    stream.send("0\r\n\r\n", until);
    return true;
}

} // namespace pistachiopost::soak
