/// \file
/// How much later than expected the backend servers of each service begin to answer.
///
/// A full fleet answers late without being broken. What counts as silence therefore
/// follows the delays of late, like the retransmission timer of TCP (RFC 6298).
#pragma once

#include "request/time_types.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Smoothed delays by service. Thread-safe.
class response_delay_estimator
{
public:
    /// Takes over how much later than expected an answer began, or for how long beyond
    /// that none had begun when the attempt was given up.
    void add(std::string_view service, steady::duration delay);
    /// Returns how much later than expected a sound backend server may begin.
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
