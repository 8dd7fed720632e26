/// \file
/// Bounds the memory that a process holds on behalf of callers and backend servers.
#pragma once

#include "process/byte_budget.hpp"
#include "request/time_types.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <set>

namespace pistachiopost {

/// What memory is taken for. Each use may fill the budget up to a level of its own, so
/// that what was forwarded can finish while new work is refused.
enum class memory_use
{
    body,    ///< A large body that has not been forwarded.
    request, ///< A connection, and the head and a small body of any request.
    answer   ///< An answer to a request that was forwarded.
};

class connection_memory;

/// The memory of one process for others. Lives as long as the process. Thread-safe; takes
/// no lock unless memory is short.
class memory_budget
{
public:
    /// A connection, a small request or an answer waits this long for memory. Shorter
    /// than the time for which a backend server tolerates an answer that is not read.
    static constexpr milliseconds max_wait{1'000};
    /// A large body waits this long: longer than `stall_time`, so that it finds the
    /// memory of bodies that have stalled.
    static constexpr milliseconds max_body_wait{3'000};
    /// A connection whose last `progress_bytes` took longer than this may be closed while
    /// memory is short. 64 kB in 2 s are an eightieth of the slowest link (20 Mbit/s).
    static constexpr milliseconds stall_time{2'000};
    static constexpr std::uint64_t progress_bytes = 65'536;

    explicit memory_budget(std::uint64_t limit_bytes) : bytes_(limit_bytes) {}
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    /// Takes `n` bytes; returns false and takes none if the level of `use` is reached.
    bool try_take(std::uint64_t n, memory_use use)
    {
        return bytes_.try_take(n, level(use));
    }
    /// Takes `n` bytes. While there are too few, waits until `until` and closes
    /// connections that make no progress, those that cost most first. Returns false and
    /// takes none if that does not help.
    bool take(std::uint64_t n, memory_use use, time_point until);
    void give_back(std::uint64_t n);

    [[nodiscard]] std::uint64_t used() const { return bytes_.used(); }
    [[nodiscard]] std::uint64_t limit() const { return bytes_.limit(); }
    /// Returns up to how many bytes `use` may fill the budget.
    [[nodiscard]] std::uint64_t level(memory_use use) const;

private:
    friend class connection_memory;

    void close_costliest(std::uint64_t wanted, time_point now);

    byte_budget bytes_;
    std::atomic<int> waiting_ = 0;
    std::mutex mutex_; ///< Of the members below, and of the choice of a connection.
    std::condition_variable released_;
    std::set<connection_memory*> connections_;
};

/// The bytes that one buffer has taken from a budget; given back at its end.
class memory_charge
{
public:
    /// Takes nothing and is never short.
    memory_charge() = default;
    memory_charge(memory_budget& budget, memory_use use) : budget_(&budget), use_(use) {}
    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&& other) noexcept;
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;
    ~memory_charge() { release(); }

    /// Adapts to a buffer of `size` bytes; returns false if there is no memory for its
    /// growth by `until`.
    bool resize(std::uint64_t size, time_point until);
    void release();
    [[nodiscard]] std::uint64_t bytes() const { return taken_; }

private:
    memory_budget* budget_ = nullptr;
    memory_use use_ = memory_use::answer;
    std::uint64_t taken_ = 0;
};

/// What one connection of a caller holds. Its task calls all members; while a request is
/// read or its answer is sent, a task that lacks memory may close the connection.
class connection_memory
{
public:
    /// Taken for a connection: the touched part of its stack and its read buffer.
    static constexpr std::uint64_t connection_bytes = 32'768;
    /// Taken for each request: its head, a small body, and what the kernel may hold of
    /// the next ones.
    static constexpr std::uint64_t request_bytes = 65'536;
    /// Part of a body that `request_bytes` covers.
    static constexpr std::uint64_t small_body_bytes = 32'768;

    /// `fd` is the socket of the connection, which must outlive this object.
    connection_memory(memory_budget& budget, int fd);
    ~connection_memory();
    connection_memory(const connection_memory&) = delete;
    connection_memory& operator=(const connection_memory&) = delete;

    /// Takes memory for the connection; returns false if there is none.
    bool admit();
    /// Takes memory for a request of which the first bytes arrived at `now`.
    bool begin_request(time_point now);
    /// Takes memory so that a body of `size` bytes can be held.
    bool cover_body(std::uint64_t size, time_point now);
    /// Records `n` bytes received or sent.
    void record_progress(std::uint64_t n, time_point now);
    /// Ends reading. Gives back what a body of `body_bytes` does not need. Returns false
    /// if the connection was closed for its memory; else it no longer is.
    bool begin_forwarding(std::uint64_t body_bytes, time_point now);
    /// The answer to a request is being sent; `answer_bytes` are held until the end.
    void begin_sending(std::uint64_t answer_bytes, time_point now);
    /// Gives back all that was taken for the request.
    void end_request();
    /// Returns whether another task has closed the connection for its memory.
    [[nodiscard]] bool closed_for_memory() const { return closed_; }

private:
    friend class memory_budget;

    enum class phase
    {
        forwarding, ///< Idle or forwarded; the connection is not closed.
        reading,
        sending
    };

    void set_phase(phase it, time_point now);

    memory_budget& budget_;
    int fd_;
    memory_charge connection_;
    memory_charge request_;
    memory_charge body_;
    std::uint64_t since_progress_ = 0; ///< Bytes since `progress_at_`.
    std::atomic<std::uint64_t> held_ = 0;
    std::atomic<time_point> progress_at_{};
    std::atomic<phase> phase_ = phase::forwarding;
    std::atomic<bool> closed_ = false;
};

/// Keeps the memory allocator from holding much freed memory back: large buffers are
/// returned to the kernel at once, and few arenas hold small ones.
void bound_allocator();

} // namespace pistachiopost
