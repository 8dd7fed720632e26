/// \file
/// Memory reserved on engines for one attempt.
#pragma once

#include "connection/http_call.hpp"
#include "connection/unique_fd.hpp"
#include "process/backend_notice.hpp"
#include "process/logging.hpp"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace pistachiopost {

/// Reservation on one engine.
struct engine_reservation
{
    backend_record backend;
    std::string id;
    std::uint64_t tokens = 0;
};

/// Returns a reservation identifier that is unique across all gateways.
inline std::string next_reservation_id()
{
    static const auto boot = std::random_device()();
    static std::atomic<std::uint64_t> count = 0;
    return std::to_string(boot) + "-" + std::to_string(++count);
}

/// Reserves memory while the attempt runs and releases it at the end. If this process
/// dies, the reservations expire after `lease_duration`.
template <typename Codec>
class memory_lease
{
public:
    /// Lifetime of a reservation without renewal. Shorter than the 4 s within which the
    /// memory of an ended request must be free, and long enough for one lost renewal.
    static constexpr milliseconds lease_duration{3'500};
    /// Interval between renewals.
    static constexpr milliseconds renewal_interval{1'500};

    /// `on_notice` must outlive the lease.
    explicit memory_lease(const notice_handler& on_notice) : on_notice_(on_notice) {}
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;
    ~memory_lease()
    {
        for (const auto& it : reservations_)
        {
            send_call(it, Codec::encode_release(it.id));
        }
    }

    /// Reserves memory on one more engine; returns false if the engine refuses or leaves,
    /// or if the call fails.
    bool add(const backend_record& backend, std::uint64_t tokens)
    {
        reservations_.push_back({backend, next_reservation_id(), tokens});
        const auto& it = reservations_.back();
        constexpr int status_ok = 200;
        const auto head =
            send_call(it, Codec::encode_reserve(it.id, it.tokens, lease_duration));
        return head.status == status_ok && !Codec::decode_notice(head, {}).leaving;
    }

    /// Renews all reservations.
    void renew()
    {
        for (const auto& it : reservations_)
        {
            send_call(it, Codec::encode_reserve(it.id, it.tokens, lease_duration));
        }
    }

    [[nodiscard]] bool empty() const { return reservations_.empty(); }
    /// Returns the identifier of the reservation added last.
    [[nodiscard]] const std::string& last_id() const { return reservations_.back().id; }

private:
    // 100 round trips between availability zones. The stream is blocked during the call.
    static constexpr milliseconds call_timeout{250};

    /// Returns the head of the response; its status is 0 if the call failed.
    message_head send_call(const engine_reservation& it, const http_call& call) const
    {
        try
        {
            const auto& address = it.backend.address;
            tcp_stream stream(
                connect_tcp(address, static_cast<int>(call_timeout.count())));
            auto reply =
                make_call(stream, to_string(address), call, steady::now() + call_timeout);
            if (const auto notice = Codec::decode_notice(reply.head, {}); !notice.empty())
            {
                on_notice_(it.backend, notice);
            }
            return std::move(reply.head);
        }
        catch (const connection_error& ex)
        {
            log_event(log_level::info, "memory reservation call failed",
                      {{"backend", it.backend.id},
                       {"reservation", it.id},
                       {"fault", ex.what()}});
            return {};
        }
    }

    const notice_handler& on_notice_;
    std::vector<engine_reservation> reservations_;
};

} // namespace pistachiopost
