#include "connection/http_server.hpp"

#include "process/task.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <system_error>
#include <utility>

namespace pistachiopost {

namespace {

constexpr std::size_t connection_stack_bytes = 1'048'576;
constexpr std::size_t max_path_bytes = 1'024; // httplib matches paths recursively
constexpr int accept_backlog = 1'024;         // connections
constexpr std::size_t requests_per_connection = 1'000'000;

} // namespace

/// Runs each accepted connection on its own task.
class http_server::connection_tasks : public httplib::TaskQueue
{
public:
    explicit connection_tasks(http_server& server) : server_(server) {}

    void enqueue(std::function<void()> serve_connection) override
    {
        if (server_.open_connections_ >= server_.limits_.max_connections)
        {
            serve_connection(); // runs on the accepting task, which refuses it
            return;
        }
        ++server_.open_connections_;
        try
        {
            task::start_detached([this, serve_connection] { run(serve_connection); },
                                 connection_stack_bytes);
        }
        catch (const std::system_error&)
        {
            serve_connection(); // runs on the accepting task, which refuses it
            release_connection();
        }
    }

    void shutdown() override
    {
        std::unique_lock lock(server_.mutex_);
        server_.connection_closed_.wait(
            lock, [this] { return server_.open_connections_ == 0; });
    }

private:
    void run(const std::function<void()>& serve)
    {
        serves_connection = true;
        serve();
        release_connection();
    }

    void release_connection()
    {
        const std::lock_guard lock(server_.mutex_);
        --server_.open_connections_;
        server_.connection_closed_.notify_all();
    }

    http_server& server_;

public:
    /// True on tasks that serve a connection, false on the accepting task.
    static thread_local bool serves_connection;
};

thread_local bool http_server::connection_tasks::serves_connection = false;

http_server::http_server(const http_limits& limits, std::string refusal_body)
    : limits_(limits), refusal_body_(std::move(refusal_body)), stop_fd_(open_event_fd())
{
    new_task_queue = [this] { return new connection_tasks(*this); };
    set_payload_max_length(limits.max_body_bytes);
    set_keep_alive_max_count(requests_per_connection);
    set_tcp_nodelay(true);
    set_pre_routing_handler([](const httplib::Request& req, httplib::Response& res) {
        if (req.path.size() <= max_path_bytes)
        {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        res.status = 414;
        return httplib::Server::HandlerResponse::Handled;
    });
}

void http_server::bind(const endpoint& local)
{
    if (!bind_to_port(local.address, local.port))
    {
        throw connection_error("cannot listen on " + to_string(local) +
                               "; is another process using it?");
    }
    ::listen(svr_sock_, accept_backlog);
}

void http_server::serve()
{
    listen_after_bind();
}

void http_server::stop_serving()
{
    stopping_ = true;
    signal_event_fd(stop_fd_);
    stop();
}

bool http_server::process_and_close_socket(socket_t sock)
{
    unique_fd owned(sock);
    if (!connection_tasks::serves_connection)
    {
        refuse(std::move(owned));
        return false;
    }
    http_connection connection(std::move(owned), stop_fd_.get(), limits_.io_timeout);
    while (connection.wait_for_request(limits_.idle_timeout))
    {
        bool closed = false;
        const bool ok = process_request(connection, stopping_, closed, nullptr);
        connection.reset_response();
        if (!ok || closed || stopping_ || connection.aborted())
        {
            break;
        }
    }
    ::shutdown(connection.socket(), SHUT_RDWR);
    return true;
}

void http_server::refuse(unique_fd sock) const
{
    const auto response = fmt::format(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
        "Retry-After: 1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
        refusal_body_.size(), refusal_body_);
    ::send(sock.get(), response.data(), response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(sock.get(), SHUT_WR);
}

} // namespace pistachiopost
