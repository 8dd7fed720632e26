/// \file
/// Bounds the memory that the requests of a process use together.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace pistachiopost {

/// A number of bytes that tasks may use in total. Thread-safe.
class byte_budget
{
public:
    explicit byte_budget(std::uint64_t limit) : limit_(limit) {}

    /// Takes `n` bytes; returns false and takes none if more than `level` bytes would be
    /// taken in total then, or more than the limit.
    bool try_take(std::uint64_t n, std::uint64_t level)
    {
        const auto most = std::min(level, limit_);
        auto used = used_.load();
        while (n <= most && used <= most - n)
        {
            if (used_.compare_exchange_weak(used, used + n))
            {
                return true;
            }
        }
        return false;
    }
    void give_back(std::uint64_t n) { used_ -= n; }
    [[nodiscard]] std::uint64_t used() const { return used_; }
    [[nodiscard]] std::uint64_t limit() const { return limit_; }

private:
    std::uint64_t limit_;
    std::atomic<std::uint64_t> used_ = 0;
};

} // namespace pistachiopost
