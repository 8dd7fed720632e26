#include "connection/http_client.hpp"

#include <fmt/format.h>

#include <cctype>
#include <utility>

namespace pistachiopost {

namespace {

// The connection is closed if the peer acknowledges nothing for this long: half of the
// 3 s after which the platform considers a VM reachable again.
constexpr milliseconds peer_timeout{1'500};

/// Returns whether the connection is open and holds no bytes, which would belong to an
/// earlier call.
bool is_idle(const tcp_stream& stream)
{
    return stream.buffered().empty() &&
           wait_readable(stream.fd(), -1, steady::now()) == wake_cause::timeout;
}

} // namespace

http_client::http_client(endpoint remote, milliseconds timeout)
    : remote_(std::move(remote)), timeout_(timeout)
{
}

void http_client::connect()
{
    stream_.emplace(connect_tcp(remote_, static_cast<int>(timeout_.count())));
    stream_->set_peer_timeout(peer_timeout);
}

http_reply http_client::call(const http_call& it, milliseconds wait,
                             const abandon_check& abandon)
{
    try
    {
        const auto until = steady::now() + wait + timeout_;
        if (!stream_ || !is_idle(*stream_))
        {
            connect();
        }
        auto reply = make_call(*stream_, to_string(remote_), it, until, abandon);
        if (!reply.keep_alive)
        {
            stream_.reset();
        }
        return reply;
    }
    catch (const call_abandoned&)
    {
        stream_.reset(); // the answer may still come
        throw;
    }
    catch (const connection_error& ex)
    {
        stream_.reset();
        throw connection_error(fmt::format("{} {} at {} failed: {}", it.method, it.target,
                                           to_string(remote_), ex.what()));
    }
}

http_reply http_client::get(std::string_view path, std::string_view etag)
{
    return call({"GET", std::string(path), {}, std::string(etag)});
}

http_reply http_client::post(std::string_view path, std::string_view body)
{
    return call({"POST", std::string(path), std::string(body), {}});
}

http_reply http_client::remove(std::string_view path)
{
    return call({"DELETE", std::string(path), {}, {}});
}

std::string encode_component(std::string_view text)
{
    std::string out;
    for (const char c : text)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~')
        {
            out += c;
        }
        else
        {
            out += fmt::format("%{:02X}", byte);
        }
    }
    return out;
}

} // namespace pistachiopost
