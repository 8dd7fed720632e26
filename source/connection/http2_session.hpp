/// \file
/// An nghttp2 session on a TCP connection, driven by one task.
///
/// The task blocks in poll() on the socket and on an event descriptor that other
/// threads signal when they post work. Only this task calls nghttp2.
#pragma once

#include "connection/connection_error.hpp"
#include "connection/header_field.hpp"
#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <nghttp2/nghttp2.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <concepts>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pistachiopost {

/// Header fields of a received stream, keyed by name.
using header_map = std::map<std::string, std::string, std::less<>>;

/// Role of a session on its connection.
enum class session_side
{
    client, ///< Opens streams.
    server  ///< Responds to streams.
};

/// Callbacks that a session requires from its owner. All are called on the session's
/// task.
template <typename Handler>
concept stream_handler = requires(Handler& it, std::int32_t stream, header_map headers,
                                  std::string_view bytes, time_point now)
{
    it.on_headers(stream, headers);
    it.on_data(stream, bytes);
    it.on_end(stream);
    it.on_close(stream);
    {
        it.on_tick(now)
        } -> std::same_as<time_point>;
};

/// HTTP/2 session that reports its events to `Handler`, a stream_handler. The concept
/// is checked in the constructor, because a handler usually owns its session and its
/// type is therefore incomplete here.
template <typename Handler>
class http2_session
{
public:
    /// Takes ownership of a connected, non-blocking socket.
    http2_session(session_side side, unique_fd sock, Handler& handler)
        : handler_(handler), socket_(std::move(sock)), wake_fd_(open_event_fd())
    {
        static_assert(stream_handler<Handler>);
        start(side);
    }
    http2_session(const http2_session&) = delete;
    http2_session& operator=(const http2_session&) = delete;
    ~http2_session() { nghttp2_session_del(session_); }

    /// Opens a stream with a complete body and returns its identifier. Client side only.
    std::int32_t open(std::span<const header_field> headers,
                      std::shared_ptr<const std::string> body)
    {
        auto nv = to_name_values(headers);
        outgoing_body out;
        out.finished = true;
        if (body && !body->empty())
        {
            out.chunks.push_back(std::move(body));
        }
        nghttp2_data_provider provider{{0}, read_body};
        const auto id = nghttp2_submit_request(session_, nullptr, nv.data(), nv.size(),
                                               &provider, nullptr);
        if (id < 0)
        {
            throw connection_error(std::string("cannot open a stream: ") +
                                   nghttp2_strerror(id));
        }
        outgoing_.emplace(id, std::move(out));
        return id;
    }

    /// Responds to a stream with status 200 and leaves the body open. Server side only.
    void respond(std::int32_t stream)
    {
        const std::array<header_field, 1> status{{{":status", "200"}}};
        auto nv = to_name_values(status);
        outgoing_.emplace(stream, outgoing_body{});
        nghttp2_data_provider provider{{0}, read_body};
        nghttp2_submit_response(session_, stream, nv.data(), nv.size(), &provider);
    }

    /// Appends bytes to the body of a stream. Does nothing if the stream has closed.
    void append(std::int32_t stream, std::string bytes)
    {
        const auto it = outgoing_.find(stream);
        if (it == outgoing_.end())
        {
            return;
        }
        it->second.chunks.push_back(
            std::make_shared<const std::string>(std::move(bytes)));
        nghttp2_session_resume_data(session_, stream);
    }

    /// Ends the body of a stream after the appended bytes. Does nothing if the stream
    /// has closed.
    void finish(std::int32_t stream)
    {
        const auto it = outgoing_.find(stream);
        if (it == outgoing_.end())
        {
            return;
        }
        it->second.finished = true;
        nghttp2_session_resume_data(session_, stream);
    }

    /// Resets a stream with error code CANCEL.
    void cancel(std::int32_t stream)
    {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
    }

    /// Runs `work` on the session's task. Thread-safe.
    void post(std::function<void()> work)
    {
        const std::lock_guard lock(mutex_);
        posted_work_.push_back(std::move(work));
        signal_event_fd(wake_fd_);
    }

    /// Runs the pending posted work. Called on the session's task only; after run() it
    /// drains what was posted late.
    void run_posted()
    {
        std::vector<std::function<void()>> work;
        {
            const std::lock_guard lock(mutex_);
            clear_event_fd(wake_fd_);
            work.swap(posted_work_);
        }
        for (auto& it : work)
        {
            it();
        }
    }

    /// Makes run() return. Thread-safe.
    void stop()
    {
        post([this] { stopped_ = true; });
    }

    /// Serves the connection until the peer closes it, an error occurs or stop() is
    /// called. `now` returns the current time.
    template <typename Clock>
    void run(Clock&& now)
    {
        while (!stopped_ && !failed_)
        {
            const auto tick = handler_.on_tick(now());
            send_pending();
            if (failed_ || stopped_)
            {
                break;
            }
            wait_until(tick, now());
            run_posted();
            receive_pending();
        }
        send_pending();
    }

private:
    struct outgoing_body
    {
        std::deque<std::shared_ptr<const std::string>> chunks;
        std::size_t position = 0; ///< Bytes of the first piece already sent.
        bool finished = false;
    };

    static constexpr std::int32_t stream_window_bytes = 1 << 20;
    static constexpr std::int32_t connection_window_bytes = 64 << 20;
    static constexpr std::uint32_t max_streams = 10'000;
    static constexpr std::size_t io_buffer_bytes = 65'536;

    static std::vector<nghttp2_nv> to_name_values(std::span<const header_field> headers)
    {
        std::vector<nghttp2_nv> nv;
        nv.reserve(headers.size());
        for (const auto& it : headers)
        {
            nv.push_back(
                {reinterpret_cast<std::uint8_t*>(const_cast<char*>(it.name.data())),
                 reinterpret_cast<std::uint8_t*>(const_cast<char*>(it.value.data())),
                 it.name.size(), it.value.size(), NGHTTP2_NV_FLAG_NONE});
        }
        return nv;
    }

    void start(session_side side)
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, on_header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, on_frame);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, on_chunk);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                               on_stream_close);
        if (side == session_side::client)
        {
            nghttp2_session_client_new(&session_, callbacks, this);
        }
        else
        {
            nghttp2_session_server_new(&session_, callbacks, this);
        }
        nghttp2_session_callbacks_del(callbacks);
        const std::array<nghttp2_settings_entry, 2> settings{
            {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window_bytes},
             {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams}}};
        nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                                settings.size());
        nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                              connection_window_bytes);
    }

    /// Runs `work` and converts an exception to a session error, because exceptions
    /// must not propagate through the C frames of nghttp2.
    template <typename Work>
    static int run_guarded(Work&& work)
    {
        try
        {
            work();
            return 0;
        }
        catch (const std::exception&)
        {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
    }

    static http2_session& self(void* user) { return *static_cast<http2_session*>(user); }

    static int on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_size,
                         const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t /*flags*/, void* user)
    {
        auto& headers = self(user).received_[frame->hd.stream_id];
        headers.insert_or_assign(
            std::string(reinterpret_cast<const char*>(name), name_size),
            std::string(reinterpret_cast<const char*>(value), value_size));
        return 0;
    }

    static int on_frame(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                        void* user)
    {
        return run_guarded(
            [&session = self(user), frame] { session.receive_frame(*frame); });
    }

    static int on_chunk(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
                        std::int32_t stream, const std::uint8_t* data, std::size_t n,
                        void* user)
    {
        const std::string_view bytes(reinterpret_cast<const char*>(data), n);
        return run_guarded([&session = self(user), stream, bytes] {
            session.handler_.on_data(stream, bytes);
        });
    }

    static int on_stream_close(nghttp2_session* /*session*/, std::int32_t stream,
                               std::uint32_t /*code*/, void* user)
    {
        auto& session = self(user);
        session.outgoing_.erase(stream);
        session.received_.erase(stream);
        return run_guarded([&session, stream] { session.handler_.on_close(stream); });
    }

    static ssize_t read_body(nghttp2_session* /*session*/, std::int32_t stream,
                             std::uint8_t* buf, std::size_t length, std::uint32_t* flags,
                             nghttp2_data_source* /*source*/, void* user)
    {
        auto& session = self(user);
        const auto it = session.outgoing_.find(stream);
        if (it == session.outgoing_.end())
        {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        auto& out = it->second;
        std::size_t n = 0;
        while (n < length && !out.chunks.empty())
        {
            const auto& chunk = *out.chunks.front();
            const auto part = std::min(length - n, chunk.size() - out.position);
            std::copy_n(chunk.data() + out.position, part, buf + n);
            n += part;
            out.position += part;
            if (out.position == chunk.size())
            {
                out.chunks.pop_front();
                out.position = 0;
            }
        }
        if (out.chunks.empty() && out.finished)
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            return static_cast<ssize_t>(n);
        }
        if (n == 0)
        {
            return NGHTTP2_ERR_DEFERRED;
        }
        return static_cast<ssize_t>(n);
    }

    void receive_frame(const nghttp2_frame& frame)
    {
        const auto id = frame.hd.stream_id;
        if (frame.hd.type == NGHTTP2_HEADERS)
        {
            auto node = received_.extract(id);
            handler_.on_headers(id, node.empty() ? header_map{} : node.mapped());
        }
        const bool can_end_stream =
            frame.hd.type == NGHTTP2_HEADERS || frame.hd.type == NGHTTP2_DATA;
        if (can_end_stream && (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        {
            handler_.on_end(id);
        }
    }

    void wait_until(time_point tick, time_point now)
    {
        const auto left = std::max(ceil_milliseconds(tick - now), milliseconds{0});
        short events = POLLIN;
        if (!send_buffer_.empty())
        {
            events |= POLLOUT;
        }
        std::array<pollfd, 2> fds{
            {{socket_.get(), events, 0}, {wake_fd_.get(), POLLIN, 0}}};
        ::poll(fds.data(), fds.size(), static_cast<int>(left.count()));
    }

    void receive_pending()
    {
        std::array<std::uint8_t, io_buffer_bytes> buf;
        const auto n = ::recv(socket_.get(), buf.data(), buf.size(), MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
        {
            failed_ = true;
            return;
        }
        if (n > 0 && nghttp2_session_mem_recv(session_, buf.data(),
                                              static_cast<std::size_t>(n)) < 0)
        {
            failed_ = true;
        }
    }

    void send_pending()
    {
        while (!failed_)
        {
            fill_send_buffer();
            if (send_buffer_.empty())
            {
                return;
            }
            const auto n = ::send(socket_.get(), send_buffer_.data(), send_buffer_.size(),
                                  MSG_NOSIGNAL);
            if (n < 0)
            {
                failed_ = errno != EAGAIN && errno != EINTR;
                return;
            }
            send_buffer_.erase(0, static_cast<std::size_t>(n));
        }
    }

    void fill_send_buffer()
    {
        while (send_buffer_.size() < io_buffer_bytes)
        {
            const std::uint8_t* data = nullptr;
            const auto n = nghttp2_session_mem_send(session_, &data);
            if (n <= 0)
            {
                failed_ = failed_ || n < 0;
                return;
            }
            send_buffer_.append(reinterpret_cast<const char*>(data),
                                static_cast<std::size_t>(n));
        }
    }

    Handler& handler_;
    unique_fd socket_;
    unique_fd wake_fd_;
    nghttp2_session* session_ = nullptr;
    std::unordered_map<std::int32_t, header_map> received_;
    std::unordered_map<std::int32_t, outgoing_body> outgoing_;
    std::string send_buffer_;
    bool failed_ = false;
    bool stopped_ = false;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_work_;
};

} // namespace pistachiopost
