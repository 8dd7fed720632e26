/// \file
/// Stub of a backend server with fault injection, and a record of the requests it ran.
#pragma once

#include "soak/loopback_server.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace pistachiopost::soak {

/// Requests run by backend servers; shared by all of them.
class run_record
{
public:
    /// One execution of a request at a backend server.
    struct run
    {
        std::string backend;
        time_point started;
        std::string customer;
        std::string target;
        std::size_t body_bytes = 0;
        bool key_forwarded = false; ///< The caller's API key was forwarded.
    };

    /// A memory reservation that was made, not one that was renewed.
    struct reservation
    {
        std::string name;
        std::string backend;
        time_point made_at;
    };

    void add(const std::string& request, run it);
    void add_reservation(reservation it);
    /// Returns the runs by request.
    [[nodiscard]] std::map<std::string, std::vector<run>> take();
    [[nodiscard]] std::vector<reservation> take_reservations();

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<run>> runs_;
    std::vector<reservation> reservations_;
};

/// Behaviour of a backend server.
enum class backend_mode
{
    normal,
    failing,   ///< Answers every second request with 500.
    resetting, ///< Runs the request and resets the connection during the answer.
    silent,    ///< Runs the request and never answers.
    full       ///< Answers 503 with Not-Run.
};

/// Number of events of each stream.
inline constexpr int stream_events = 12;

/// Returns event `n` of the answer to the request `id`, the same for every server.
std::string event_text(std::string_view id, int n);
/// Returns the answer to a plain call.
std::string answer_text(std::string_view id);

/// Serves streams, plain calls and memory reservations.
class backend_stub
{
public:
    backend_stub(std::string id, run_record& record);

    [[nodiscard]] endpoint local_endpoint() const { return server_.local_endpoint(); }
    [[nodiscard]] const std::string& id() const { return id_; }
    void set_mode(backend_mode mode) { mode_ = mode; }
    /// Returns the number of unexpired reservations.
    [[nodiscard]] std::size_t count_reservations();

private:
    bool answer(tcp_stream& stream, const received_request& request);
    bool answer_order(tcp_stream& stream, const received_request& request);
    bool answer_stream(tcp_stream& stream, const received_request& request);
    [[nodiscard]] std::string stamp_fields(const received_request& request) const;

    std::string id_;
    run_record& record_;
    std::atomic<backend_mode> mode_ = backend_mode::normal;
    std::atomic<unsigned> served_ = 0;
    std::mutex mutex_;
    std::map<std::string, time_point> reservations_; ///< Expiry time, by name.
    loopback_server server_;
};

} // namespace pistachiopost::soak
