/// \file
/// Memory and descriptors of another process, sampled from /proc.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/task.hpp"

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace pistachiopost::abuse {

/// Largest values that were seen.
struct usage_peaks
{
    std::uint64_t resident_bytes = 0;
    /// Bytes that callers have sent and the process has not read, which count toward the
    /// memory of a VM.
    std::uint64_t unread_bytes = 0;
    std::uint64_t together_bytes = 0; ///< Both at the same time.
    std::size_t descriptors = 0;
};

/// Samples a process until stop().
class usage_sampler
{
public:
    /// `address` is the one on which the process `pid` serves callers.
    usage_sampler(pid_t pid, const endpoint& address);
    ~usage_sampler() { stop(); }
    usage_sampler(const usage_sampler&) = delete;
    usage_sampler& operator=(const usage_sampler&) = delete;

    /// Ends sampling and returns the peaks.
    usage_peaks stop();

private:
    void sample();

    pid_t pid_;
    std::string address_; ///< As /proc/net/tcp writes it.
    usage_peaks peaks_;
    std::atomic<bool> stopped_ = false;
    task sampling_;
};

} // namespace pistachiopost::abuse
