/// \file
/// HTTP connection of a caller, used by the task that serves it.
#pragma once

#include "connection/unique_fd.hpp"
#include "request/time_types.hpp"

#include <httplib.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Result of a wait on a connection.
enum class wake_reason
{
    ready,       ///< The given descriptor became readable.
    peer_closed, ///< The peer closed or reset the connection.
    timeout      ///< The deadline passed.
};

/// httplib stream over a socket. All waits block in poll(). A handler can send a chunked
/// response itself with begin(), write_chunk() and finish(); the response that httplib
/// writes for the same request is then discarded.
class http_connection : public httplib::Stream
{
public:
    /// Takes ownership of `sock`. `stop_fd` becomes readable when the server stops.
    http_connection(unique_fd sock, int stop_fd, milliseconds io_timeout);

    /// Waits for the first byte of the next request. Returns false if the connection
    /// must be closed, on idle timeout or server stop.
    bool wait_for_request(milliseconds idle_timeout);
    /// Resets the state of the request and its response for the next one.
    void reset_response();

    /// Sends the head of a chunked response. Returns false if the caller has
    /// disconnected.
    bool begin(int status, std::string_view content_type);
    /// Sends one chunk of the response.
    bool write_chunk(std::string_view bytes);
    /// Sends the last chunk, which completes the response.
    bool finish();
    /// Makes the server close the connection after this response, so that the caller
    /// can detect a truncated one.
    void abort() { aborted_ = true; }
    /// Returns whether the connection must not serve another request.
    [[nodiscard]] bool aborted() const { return aborted_; }
    /// Returns whether begin() was called for this response.
    [[nodiscard]] bool begun() const { return begun_; }

    /// Waits until `fd` is readable, the caller disconnects or `until` passes.
    wake_reason wait(int fd, time_point until, time_point now);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* ptr, std::size_t size) override;
    ssize_t write(const char* ptr, std::size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return socket_.get(); }

    /// Returns the connection served by the calling task.
    static http_connection& current();

private:
    /// Counts bytes that httplib reads; returns false if those that are no content exceed
    /// the limit.
    bool count_read(std::string_view bytes);
    bool send_all(std::string_view bytes);
    bool fill();

    unique_fd socket_;
    int stop_fd_;
    milliseconds io_timeout_;
    std::array<char, 16'384> buffer_;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
    bool has_head_ = false;           ///< Of this request; its body is read.
    std::uint64_t line_ = 0;          ///< Bytes of the line that is read.
    std::uint64_t line_bytes_ = 0;    ///< Counted bytes of the lines before it.
    std::uint64_t content_bytes_ = 0; ///< Of this request.
    bool begun_ = false;
    bool aborted_ = false;
};

} // namespace pistachiopost
