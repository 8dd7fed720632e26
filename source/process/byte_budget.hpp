/// \file
/// Bounds the memory that the requests of a process use together.
#pragma once

#include <atomic>
#include <cstdint>

namespace pistachiopost {

/// A number of bytes that tasks may use in total. Thread-safe.
class byte_budget
{
public:
    explicit byte_budget(std::uint64_t limit) : limit_(limit) {}

    /// Takes `n` bytes; returns false and takes none if that exceeds the limit.
    bool try_take(std::uint64_t n)
    {
        if (used_.fetch_add(n) + n <= limit_)
        {
            return true;
        }
        used_ -= n;
        return false;
    }
    void give_back(std::uint64_t n) { used_ -= n; }
    [[nodiscard]] std::uint64_t used() const { return used_; }

private:
    std::uint64_t limit_;
    std::atomic<std::uint64_t> used_ = 0;
};

/// The bytes that one buffer has taken from a budget; given back at its end.
class budgeted_bytes
{
public:
    explicit budgeted_bytes(byte_budget& budget) : budget_(budget) {}
    ~budgeted_bytes() { budget_.give_back(taken_); }
    budgeted_bytes(const budgeted_bytes&) = delete;
    budgeted_bytes& operator=(const budgeted_bytes&) = delete;

    /// Adapts to a buffer of `size` bytes; returns false if the budget does not allow
    /// its growth.
    bool resize(std::uint64_t size)
    {
        if (size > taken_ && !budget_.try_take(size - taken_))
        {
            return false;
        }
        if (size < taken_)
        {
            budget_.give_back(taken_ - size);
        }
        taken_ = size;
        return true;
    }

private:
    byte_budget& budget_;
    std::uint64_t taken_ = 0;
};

} // namespace pistachiopost
