/// \file
/// Callers of the soak: they keep connections open and record what they were told.
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

/// What is asked for.
enum class call_sort
{
    look_up, ///< Plain, may be repeated.
    booking, ///< Plain, may run once.
    note,    ///< Short prompt, may be resumed.
    dossier  ///< Prompt over one engine's memory, may be resumed.
};

/// One call and what came of it.
struct call_record
{
    std::string id;
    call_sort sort = call_sort::look_up;
    std::size_t gateway = 0;
    std::string target;
    std::size_t body_bytes = 0;
    time_point sent;
    time_point ended;
    int status = 0;     ///< 0: no answer began.
    bool whole = false; ///< The answer was complete by its own account.
    bool left = false;  ///< The caller left before the end.
    std::string proof;  ///< Backend server that signed the answer.
    std::string body;
};

/// Returns the name of the customer that holds the callers' key.
inline constexpr std::string_view customer_name = "ann";
/// The callers' key.
inline constexpr std::string_view customer_key = "key-a";
/// Time that callers state, and wait at most: with the routes' 4 s it is never the first
/// to run out.
inline constexpr milliseconds stated_time{6'000};
inline constexpr milliseconds caller_timeout{10'000};

/// Returns the prefix of the route for calls of this sort.
std::string_view path_of(call_sort sort);
/// Makes one call over `stream`; false if the connection cannot carry another one.
bool make_call(tcp_stream& stream, call_record& it,
               std::optional<int> leave_after_events);

/// A group of callers, each on a task of its own.
class caller_group
{
public:
    caller_group(std::vector<endpoint> gateways, std::uint64_t seed, std::size_t callers);

    /// Stops all callers and returns what they recorded.
    std::vector<call_record> finish();

private:
    void work(std::size_t caller);
    call_record next_call(std::mt19937_64& random, std::size_t caller, std::uint64_t n);
    void add(call_record it);

    std::vector<endpoint> gateways_;
    std::uint64_t seed_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::vector<call_record> records_;
    std::vector<task> tasks_;
};

} // namespace pistachiopost::soak
