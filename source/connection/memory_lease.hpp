/// \file
/// Memory set aside at engines for one attempt.
#pragma once

#include "connection/http_call.hpp"
#include "connection/unique_fd.hpp"
#include "process/logging.hpp"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace pistachiopost {

/// One engine's part of a lease.
struct leased_memory
{
    std::string backend;
    endpoint address;
    std::string id;
    std::uint64_t tokens = 0;
};

/// Returns an identifier that no other reservation of any gateway has.
inline std::string next_reservation_id()
{
    static const auto boot = std::random_device()();
    static std::atomic<std::uint64_t> count = 0;
    return std::to_string(boot) + "-" + std::to_string(++count);
}

/// Holds memory while the attempt runs and gives it back at its end. Should this process
/// die, the memory comes free by itself after `hold`.
template <typename Codec>
class memory_lease
{
public:
    /// Time for which each order holds the memory. Shorter than the four seconds in which
    /// memory must be free after its request, and long enough for one lost renewal.
    static constexpr milliseconds hold{3'500};
    /// Time between renewals.
    static constexpr milliseconds renewal{1'500};

    memory_lease() = default;
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;
    ~memory_lease()
    {
        for (const auto& it : held_)
        {
            order(it, Codec::encode_release(it.id));
        }
    }

    /// Sets memory aside at one more engine; false if the engine has none.
    bool add(std::string_view backend, const endpoint& address, std::uint64_t tokens)
    {
        held_.push_back({std::string(backend), address, next_reservation_id(), tokens});
        const auto& it = held_.back();
        constexpr int done = 200;
        return order(it, Codec::encode_reserve(it.id, it.tokens, hold)) == done;
    }

    /// Renews all of it.
    void renew()
    {
        for (const auto& it : held_)
        {
            order(it, Codec::encode_reserve(it.id, it.tokens, hold));
        }
    }

    [[nodiscard]] bool empty() const { return held_.empty(); }
    /// Returns the reservation added last.
    [[nodiscard]] const std::string& last_id() const { return held_.back().id; }

private:
    // A hundred round trips between availability zones; the stream waits meanwhile.
    static constexpr milliseconds order_timeout{250};

    /// Returns the status of the answer, 0 if there is none.
    static int order(const leased_memory& it, const http_call& call)
    {
        try
        {
            tcp_stream stream(
                connect_tcp(it.address, static_cast<int>(order_timeout.count())));
            return make_call(stream, to_string(it.address), call,
                             steady::now() + order_timeout)
                .status;
        }
        catch (const connection_error& ex)
        {
            log_event(
                log_level::info, "order for memory not answered",
                {{"backend", it.backend}, {"reservation", it.id}, {"fault", ex.what()}});
            return 0;
        }
    }

    std::vector<leased_memory> held_;
};

} // namespace pistachiopost
