#include "abuse/process_usage.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace pistachiopost::abuse {

namespace {

constexpr milliseconds sample_interval{20};

/// Returns a value of /proc/PID/status in bytes, 0 if the process has ended.
std::uint64_t status_bytes(pid_t pid, std::string_view name)
{
    std::ifstream file(fmt::format("/proc/{}/status", pid));
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with(name))
        {
            return std::stoull(line.substr(name.size() + 1)) * 1'024;
        }
    }
    return 0;
}

std::size_t count_descriptors(pid_t pid)
{
    std::error_code ec;
    const std::filesystem::directory_iterator all(fmt::format("/proc/{}/fd", pid), ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

/// Returns the unread bytes of all connections to `address`.
std::uint64_t count_unread(std::string_view address)
{
    constexpr std::string_view established = "01";
    std::ifstream file("/proc/net/tcp");
    std::uint64_t sum = 0;
    for (std::string line; std::getline(file, line);)
    {
        std::istringstream in(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        in >> number >> local >> remote >> state >> queues;
        const auto colon = queues.find(':');
        if (local == address && state == established && colon != std::string::npos)
        {
            sum += std::stoull(queues.substr(colon + 1), nullptr, 16);
        }
    }
    return sum;
}

/// Returns an address as /proc/net/tcp writes it.
std::string proc_address(const endpoint& it)
{
    const auto addr = to_sockaddr(it);
    return fmt::format("{:08X}:{:04X}", addr.sin_addr.s_addr, it.port);
}

} // namespace

usage_sampler::usage_sampler(pid_t pid, const endpoint& address)
    : pid_(pid), address_(proc_address(address)), sampling_([this] {
          while (!stopped_)
          {
              sample();
              std::this_thread::sleep_for(sample_interval);
          }
      })
{
}

usage_peaks usage_sampler::stop()
{
    stopped_ = true;
    sampling_.join();
    // The kernel's own peak includes what happened between two samples.
    peaks_.resident_bytes = std::max(peaks_.resident_bytes, status_bytes(pid_, "VmHWM:"));
    return peaks_;
}

void usage_sampler::sample()
{
    const auto resident = status_bytes(pid_, "VmRSS:");
    const auto unread = count_unread(address_);
    peaks_.resident_bytes = std::max(peaks_.resident_bytes, resident);
    peaks_.unread_bytes = std::max(peaks_.unread_bytes, unread);
    peaks_.together_bytes = std::max(peaks_.together_bytes, resident + unread);
    peaks_.descriptors = std::max(peaks_.descriptors, count_descriptors(pid_));
}

} // namespace pistachiopost::abuse
