/// \file
/// Measures the arrival rate of prompt tokens per length class.
#pragma once

#include "request/length_class.hpp"
#include "request/time_types.hpp"

#include <array>
#include <cmath>
#include <cstdint>

namespace pistachiopost {

/// Exponentially decaying arrival rate of prompt tokens per length class.
class arrival_meter
{
public:
    /// Records the arrival of a prompt of `tokens` tokens.
    void add(length_class length, std::uint64_t tokens, time_point now)
    {
        decay(now);
        amounts_[static_cast<std::size_t>(length)] += static_cast<double>(tokens);
    }

    /// Returns the combined rate of all classes shorter than `length`, in tokens per
    /// second.
    [[nodiscard]] double rate_below(length_class length, time_point now) const
    {
        double amount = 0;
        for (std::size_t i = 0; i < static_cast<std::size_t>(length); ++i)
        {
            amount += amounts_[i];
        }
        return amount * decay_factor(now) / window_seconds;
    }

private:
    static constexpr double window_seconds = 2;

    [[nodiscard]] double decay_factor(time_point now) const
    {
        const std::chrono::duration<double> elapsed = now - updated_;
        return std::exp(-elapsed.count() / window_seconds);
    }

    void decay(time_point now)
    {
        const auto remaining_share = decay_factor(now);
        for (auto& amount : amounts_)
        {
            amount *= remaining_share;
        }
        updated_ = now;
    }

    std::array<double, length_class_count> amounts_{};
    time_point updated_;
};

} // namespace pistachiopost
