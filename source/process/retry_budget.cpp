#include "process/retry_budget.hpp"

#include <algorithm>

namespace pistachiopost {

retry_budget::retry_budget(double share, double base_per_second, double burst,
                           time_point now)
    : share_(share), base_per_second_(base_per_second), burst_(burst), balance_(burst),
      last_refill_(now)
{
}

void retry_budget::earn(time_point now, std::uint64_t requests)
{
    const std::lock_guard lock(mutex_);
    refill(now);
    balance_ = std::min(balance_ + share_ * static_cast<double>(requests), burst_);
}

void retry_budget::charge(time_point now, std::uint64_t retries, double max_debt)
{
    const std::lock_guard lock(mutex_);
    refill(now);
    balance_ = std::max(balance_ - static_cast<double>(retries), -max_debt);
}

void retry_budget::set_rate(double base_per_second, double burst, time_point now)
{
    const std::lock_guard lock(mutex_);
    refill(now);
    base_per_second_ = base_per_second;
    burst_ = burst;
    balance_ = std::min(balance_, burst_);
}

bool retry_budget::try_spend(time_point now, double reserve)
{
    const std::lock_guard lock(mutex_);
    refill(now);
    if (balance_ < 1 + reserve)
    {
        return false;
    }
    balance_ -= 1;
    return true;
}

bool retry_budget::can_spend(time_point now, double reserve)
{
    const std::lock_guard lock(mutex_);
    refill(now);
    return balance_ >= 1 + reserve;
}

void retry_budget::refill(time_point now)
{
    const std::chrono::duration<double> passed = now - last_refill_;
    last_refill_ = now;
    balance_ = std::min(balance_ + passed.count() * base_per_second_, burst_);
}

} // namespace pistachiopost
