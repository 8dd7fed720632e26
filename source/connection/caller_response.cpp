#include "connection/caller_response.hpp"

#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

namespace pistachiopost {

namespace {

// A response may be written for at least this long, even past the request's deadline:
// twice the pause after which callers themselves give up.
constexpr milliseconds min_write_timeout{4'000};

} // namespace

std::string caller_response::status_line(int status) const
{
    const auto code = boost::beast::http::int_to_status(static_cast<unsigned>(status));
    const auto text = boost::beast::http::obsolete_reason(code);
    return fmt::format("HTTP/1.1 {} {}\r\n", status,
                       std::string_view(text.data(), text.size()));
}

void caller_response::add_fields(std::string& out, const message_head& head) const
{
    for (const auto& it : head.fields)
    {
        if (!is_connection_field(it.name))
        {
            out += it.name;
            out += ": ";
            out += it.value;
            out += "\r\n";
        }
    }
    if (close_)
    {
        out += "Connection: close\r\n";
    }
}

void caller_response::send_buffered(const message_head& head, std::string_view body,
                                    const progress_handler& on_sent)
{
    // The first part goes out with the head; the rest is not copied.
    constexpr std::size_t part_bytes = 65'536;
    auto out = status_line(head.status);
    add_fields(out, head);
    out += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    out += body.substr(0, part_bytes);
    begun_ = true;
    const auto until = std::max(until_, steady::now() + min_write_timeout);
    stream_.send(out, until);
    for (auto sent = part_bytes; sent < body.size(); sent += part_bytes)
    {
        if (on_sent)
        {
            on_sent(part_bytes);
        }
        stream_.send(body.substr(sent, part_bytes), until);
    }
}

std::string caller_response::stream_head(const message_head& head)
{
    if (begun_)
    {
        return {};
    }
    begun_ = true;
    auto out = status_line(head.status);
    add_fields(out, head);
    return out + "Transfer-Encoding: chunked\r\n\r\n";
}

void caller_response::send_events(const message_head& head, std::string_view events)
{
    auto out = stream_head(head);
    out += fmt::format("{:x}\r\n", events.size());
    out += events;
    out += "\r\n";
    stream_.send(out, until_);
}

void caller_response::finish_stream(const message_head& head)
{
    stream_.send(stream_head(head) + "0\r\n\r\n", until_);
}

void caller_response::send_error(int status, std::string_view reason,
                                 std::optional<milliseconds> retry_after)
{
    const auto body = fmt::format("{{\"error\":\"{}\"}}", reason);
    auto out = status_line(status);
    if (retry_after)
    {
        out += fmt::format("Retry-After: {:.2f}\r\n",
                           static_cast<double>(retry_after->count()) / 1'000);
    }
    out += close_ ? "Connection: close\r\n" : "";
    out += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                       body.size(), body);
    begun_ = true;
    stream_.send(out, std::max(until_, steady::now() + min_write_timeout));
}

} // namespace pistachiopost
