#include "process/response_delay_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiopost {

namespace {

// Smoothing gains and deviation multiplier of RFC 6298.
constexpr double mean_gain = 1.0 / 8;
constexpr double deviation_gain = 1.0 / 4;
constexpr double deviation_factor = 4;

} // namespace

void response_delay_estimator::add(std::string_view service, steady::duration delay)
{
    const double ms =
        std::max(0.0, std::chrono::duration<double, std::milli>(delay).count());
    const std::lock_guard lock(mutex_);
    auto it = services_.find(service);
    if (it == services_.end())
    {
        it = services_.emplace(std::string(service), smoothed_delay{ms, ms / 2}).first;
        return;
    }
    auto& [mean, deviation] = it->second;
    deviation += deviation_gain * (std::abs(ms - mean) - deviation);
    mean += mean_gain * (ms - mean);
}

milliseconds response_delay_estimator::allowed_delay(std::string_view service) const
{
    const std::lock_guard lock(mutex_);
    const auto it = services_.find(service);
    if (it == services_.end())
    {
        return milliseconds{0};
    }
    const double ms = it->second.mean_ms + deviation_factor * it->second.deviation_ms;
    return milliseconds{static_cast<milliseconds::rep>(ms)};
}

} // namespace pistachiopost
