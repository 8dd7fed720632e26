/// \file
/// Runs the connection tasks of a gateway in this process, with scripted backend servers
/// on the loopback interface.
#pragma once

#include "connection/gateway_connection.hpp"
#include "connection/status_server.hpp"
#include "platform/adapter.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pistachiopost {

/// A backend server that runs a script for each connection.
class scripted_backend
{
public:
    using script = std::function<void(tcp_stream&, const received_request&)>;

    explicit scripted_backend(const script& answer)
        : listener_(listen_tcp({"127.0.0.1", 0})), stop_(open_event_fd()),
          serving_([this, answer] { serve(answer); })
    {
        sockaddr_in addr{};
        socklen_t n = sizeof addr;
        getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&addr), &n);
        address = {"127.0.0.1", ntohs(addr.sin_port)};
    }

    ~scripted_backend()
    {
        signal_event_fd(stop_);
        serving_.join();
    }

    /// Returns the requests received, including memory orders.
    std::vector<received_request> requests()
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

    endpoint address;

private:
    void serve(const script& answer)
    {
        std::vector<task> tasks;
        accept_until(listener_, stop_.get(), [&](unique_fd sock) {
            auto shared = std::make_shared<unique_fd>(std::move(sock));
            tasks.emplace_back([this, shared, answer] {
                tcp_stream stream(std::move(*shared));
                received_request request;
                caller_limits limits;
                limits.max_header_bytes *= 2; // room for the fields of the gateway
                try
                {
                    if (read_request(stream, limits, -1, request) ==
                        request_outcome::complete)
                    {
                        record_request(request);
                        answer(stream, request);
                    }
                }
                catch (const connection_error&)
                {
                    // The gateway closed the connection; the test checks what was
                    // received.
                }
            });
        });
        for (auto& it : tasks)
        {
            it.join();
        }
    }

    void record_request(const received_request& request)
    {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
    }

    unique_fd listener_;
    unique_fd stop_;
    std::mutex mutex_;
    std::vector<received_request> requests_;
    task serving_;
};

/// Sends text to the gateway. Failures show in the later checks of the test.
inline void send_text(tcp_stream& stream, std::string_view text)
{
    stream.send(text, steady::now() + seconds{5});
}

inline std::string request_id_of(const received_request& request)
{
    return std::string(request.head.value("Request-Id"));
}

/// Sends a complete response with a signature.
inline void send_response(tcp_stream& stream, const received_request& request, int status,
                          std::string_view body)
{
    send_text(stream,
              fmt::format("HTTP/1.1 {} x\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                          "Content-Length: {}\r\n\r\n{}",
                          status, request_id_of(request), body.size(), body));
}

/// Sends the head of an event stream.
inline void begin_event_stream(tcp_stream& stream, const received_request& request)
{
    send_text(stream,
              fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n",
                          request_id_of(request)));
}

/// Sends one chunk of a stream.
inline void send_chunk(tcp_stream& stream, std::string_view bytes)
{
    send_text(stream, fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes));
}

inline std::string event(int id)
{
    return fmt::format("id: {}\ndata: e{}\n\n", id, id);
}

/// Sends a stream of the events `first` to `last`, including its end marker.
inline void send_event_stream(tcp_stream& stream, const received_request& request,
                              int first, int last)
{
    begin_event_stream(stream, request);
    for (int i = first; i <= last; ++i)
    {
        send_chunk(stream, event(i));
    }
    send_text(stream, "0\r\n\r\n");
}

/// The response as received by a caller.
struct received_answer
{
    message_head head;
    std::string body;
    bool complete = false;
};

/// A gateway with the routes /stream/, /safe/, /once/, /open/ and /fixed/ on host a.test.
/// Streams may be resumed, but for those of /fixed/.
struct gateway_fixture
{
    gateway_fixture()
    {
        settings.self.zone = "z";
        state = std::make_unique<gateway_state>(settings);
        state->backends_loaded = true;
        configure(1);
    }

    ~gateway_fixture() { join_connections(); }

    /// Waits until the tasks of all connections have ended.
    void join_connections()
    {
        for (auto& it : connections)
        {
            it.join();
        }
    }

    /// `limits` are those on callers, by their names on the platform.
    void configure(std::uint64_t version, std::uint64_t memory = 200'000,
                   const nlohmann::json& limits = nlohmann::json::object()) const
    {
        apply(configuration_document(version, memory, limits));
    }

    /// Returns the configuration of `configure`, with one customer.
    static nlohmann::json
    configuration_document(std::uint64_t version, std::uint64_t memory = 200'000,
                           const nlohmann::json& limits = nlohmann::json::object())
    {
        using nlohmann::json;
        const auto make_route = [](const char* name, const char* kind,
                                   const char* service) {
            return json{{"name", name},
                        {"host", "a.test"},
                        {"prefix", std::string("/") + name + "/"},
                        {"kind", kind},
                        {"timeout-ms", 4000},
                        {"target-latency-ms", 300},
                        {"max-attempts", 2},
                        {"service", service},
                        {"sticky", std::string(kind) == "stream"},
                        {"resumable", std::string(kind) == "stream"},
                        {"gap-target-ms", 250}};
        };
        auto open = make_route("open", "safe", "plain");
        open["public"] = true;
        auto fixed = make_route("fixed", "stream", "model");
        fixed["resumable"] = false;
        const json engine{
            {"slots", 4},     {"kv-capacity", memory},  {"stride", 43},
            {"step_ms", 1.0}, {"read_per_s", 206000.0}, {"pairs_per_m", 0.1},
            {"chunk", 2048}};
        return json{
            {"version", version},
            {"limits", limits},
            {"routes", json::array({make_route("stream", "stream", "model"),
                                    make_route("safe", "safe", "plain"),
                                    make_route("once", "unsafe", "plain"), open, fixed})},
            {"services", json::array({json{{"name", "model"}, {"engine", engine}},
                                      json{{"name", "plain"}}})},
            {"tenants",
             json::array({json{{"name", "ann"}, {"api-keys", json::array({"key-a"})}}})}};
    }

    /// Puts a configuration in force. Throws codec_error.
    void apply(const nlohmann::json& document) const
    {
        state->routes.advance(std::make_shared<const route_table>(
            platform::decode_configuration(document.dump())));
    }

    /// Adds a backend server for `service`.
    void add_backend(const scripted_backend& server, const std::string& id,
                     const char* service)
    {
        const backend_record record{id, service, server.address, "z", 4, false, 1};
        state->dispatch.update_registry(
            steady::now(), [&](auto& it) { it.upsert(record, steady::now()); });
    }

    /// Opens a connection of a caller.
    tcp_stream connect()
    {
        int pair[2] = {-1, -1};
        cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair), 0);
        auto shared = std::make_shared<unique_fd>(pair[1]);
        connections.emplace_back([this, shared] {
            serve_gateway_connection<platform::adapter::codec>(*state,
                                                               std::move(*shared));
        });
        return tcp_stream(unique_fd(pair[0]));
    }

    static std::string request(std::string_view path, std::string_view extra_headers = {},
                               std::string_view body = {})
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: a.test\r\nRequest-Id: r1\r\n"
                           "Deadline-Ms: 3000\r\nApi-Key: key-a\r\n{}"
                           "Content-Length: {}\r\n\r\n{}",
                           path, extra_headers, body.size(), body);
    }

    static received_answer read_answer(tcp_stream& caller)
    {
        response_reader reader("POST");
        received_answer it;
        const auto until = steady::now() + seconds{10};
        reader.parse(caller); // the previous read may have received part of this answer
        it.body += reader.take_body();
        while (!reader.done() &&
               wait_readable(caller.fd(), -1, until) == wake_cause::first)
        {
            const bool open = caller.receive();
            reader.parse(caller);
            it.body += reader.take_body();
            if (!open)
            {
                break;
            }
        }
        it.head = reader.head();
        it.complete = reader.done();
        return it;
    }

    received_answer send_request(std::string_view path,
                                 std::string_view extra_headers = {},
                                 std::string_view body = {})
    {
        auto caller = connect();
        send_text(caller, request(path, extra_headers, body));
        return read_answer(caller);
    }

    gateway_settings settings;
    std::unique_ptr<gateway_state> state;
    std::vector<task> connections;
};

/// Returns the headers of a prompt of `tokens` tokens.
inline std::string prompt_headers(std::uint64_t tokens)
{
    return fmt::format("Model: m\r\nToken-Count: {},100\r\n", tokens);
}

} // namespace pistachiopost
