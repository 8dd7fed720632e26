/// \file
/// Counts, per suspect, the backend servers that crashed while they ran a request with
/// it, over all requests and all gateways. A suspect that keeps crashing them is blocked.
///
/// Unlike crash_registry it does not run suspected requests in isolation: a gateway does
/// not know what else ran at the backend server, and requests with one suspect may reach
/// any gateway. Successful answers clear those that were only present.
#pragma once

#include "process/crash_news.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string_view>

namespace pistachiopost {

/// How far the answer had come when a backend server broke an attempt off.
enum class answer_progress
{
    none,     ///< Not even its head has arrived.
    begun,    ///< The head of a successful answer, but nothing of the answer itself.
    delivered ///< Part of the answer itself.
};

/// A suspect that became blocked.
struct new_block
{
    suspect subject;
    std::vector<backend_crash> crashes; ///< That decided it; empty if a peer did.
};

/// Returns a hash that identifies a request across retries and gateways.
std::uint64_t request_fingerprint(std::string_view path, std::string_view customer,
                                  std::string_view body);

/// Returns the suspects of a request, the request itself first.
std::vector<suspect> suspects_of(std::uint64_t fingerprint,
                                 std::span<const std::uint64_t> shared_parts);

/// The suspects known to one gateway. Thread-safe; bounded in entries and time.
class crash_tracker
{
public:
    /// Adds a crash that broke off an attempt with the suspects `involved`; returns those
    /// that became blocked. The parts of an answer in delivery are not at fault: a part
    /// crashes the backend server when the answer begins.
    std::vector<new_block> add_broken_attempt(std::span<const suspect> involved,
                                              const backend_crash& crash,
                                              answer_progress progress, time_point now);
    /// Records a successful answer to a request with the suspects `involved`.
    void record_success(std::span<const suspect> involved, time_point now);
    /// Applies the news of a peer; returns the suspects that became blocked.
    std::vector<new_block> apply(const crash_news& news, time_point now);

    /// Returns the first of `involved` that is blocked.
    [[nodiscard]] std::optional<suspect> find_blocked(std::span<const suspect> involved,
                                                      time_point now) const;
    /// Returns the number of blocked suspects.
    [[nodiscard]] std::size_t blocked_count(time_point now) const;
    /// Returns what is to be sent to peers.
    [[nodiscard]] crash_news news(time_point now) const;
    /// Returns a number that changes when there is something new to send.
    [[nodiscard]] std::uint64_t generation() const;

private:
    struct crash_entry
    {
        time_point at;
        bool answer_begun = false;
    };
    using crash_entries = std::map<backend_crash, crash_entry>;
    struct success_entry
    {
        time_point at;
        time_point keep_until;
        time_point share_until{}; ///< Only successes of this gateway are shared.
        bool local = false;
    };

    static std::uint32_t points(const suspect& subject, const crash_entries& crashes,
                                time_point now);
    std::optional<new_block> add(const crash_report& report, time_point now);
    bool add_block(const suspect& subject, time_point until, time_point now);
    void add_success(const suspect& subject, time_point at, bool local, time_point now);
    void make_room_for(const suspect& subject);
    void remove_expired(time_point now);

    mutable std::mutex mutex_;
    std::map<suspect, crash_entries> crashes_;
    std::map<suspect, time_point> blocks_; ///< With the end of the block.
    std::map<suspect, success_entry> successes_;
    std::uint64_t generation_ = 0;
    time_point cleaned_at_;
};

} // namespace pistachiopost
