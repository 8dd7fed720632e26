/// \file
/// Load-generating callers of the soak test, with a record of each call.
#pragma once

#include "connection/tcp_stream.hpp"
#include "process/task.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pistachiopost::soak {

/// Type of a call, which determines its route.
enum class call_type
{
    lookup,       ///< Plain call that is safe to repeat.
    booking,      ///< Plain call that may run at most once.
    short_prompt, ///< Stream with a short prompt; resumable.
    long_prompt   ///< Stream whose prompt exceeds one engine's memory; resumable.
};

/// One call and its result.
struct call_record
{
    std::string id;
    call_type type = call_type::lookup;
    std::size_t gateway = 0;
    std::string target;
    std::size_t body_bytes = 0;
    time_point sent;
    time_point ended;
    int status = 0;             ///< 0 if no answer was received.
    bool complete = false;      ///< The answer was complete by its HTTP framing.
    bool abandoned = false;     ///< The caller closed the connection before the end.
    std::string response_stamp; ///< Backend server named in Response-Stamp.
    std::string body;
};

/// Customer that owns the callers' API key.
inline constexpr std::string_view customer_name = "ann";
/// API key of all callers.
inline constexpr std::string_view customer_key = "key-a";
/// Deadline that callers send, and time after which they give up. Both exceed the routes'
/// timeout of 4 s, so that they never expire first.
inline constexpr milliseconds call_deadline{6'000};
inline constexpr milliseconds caller_timeout{10'000};

/// Returns the path prefix of the route for a call.
std::string_view path_prefix(call_type type);
/// Makes one call over `stream`; returns whether the connection can be reused.
bool make_call(tcp_stream& stream, call_record& it,
               std::optional<int> abandon_after_events);

/// A group of concurrent callers, one task each.
class caller_group
{
public:
    caller_group(std::vector<endpoint> gateways, std::uint64_t seed, std::size_t callers);

    /// Stops all callers and returns their records.
    std::vector<call_record> finish();

private:
    void run_caller(std::size_t caller);
    call_record next_call(std::mt19937_64& random, std::size_t caller, std::uint64_t n);
    void add_record(call_record it);

    std::vector<endpoint> gateways_;
    std::uint64_t seed_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::vector<call_record> records_;
    std::vector<task> tasks_;
};

} // namespace pistachiopost::soak
