/// \file
/// Estimates how much later than predicted the backend servers of each service respond.
///
/// A saturated fleet responds late without being faulty. Response timeouts therefore
/// adapt to recently observed delays, like the retransmission timer of TCP (RFC 6298).
#pragma once

#include "request/time_types.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Smoothed mean and deviation of the response delay per service. Thread-safe.
class response_delay_estimator
{
public:
    /// Records how much later than predicted a response began or, for an attempt that
    /// timed out, by how much the prediction had been exceeded.
    void add(std::string_view service, steady::duration delay);
    /// Returns the delay beyond the prediction that a healthy backend server may show.
    [[nodiscard]] milliseconds allowed_delay(std::string_view service) const;

private:
    struct smoothed_delay
    {
        double mean_ms = 0;
        double deviation_ms = 0;
    };

    mutable std::mutex mutex_;
    std::map<std::string, smoothed_delay, std::less<>> services_;
};

} // namespace pistachiopost
