/// \file
/// Time types. Decision code takes the current time as a `time_point` argument and never
/// reads a clock.
#pragma once

#include <chrono>

namespace pistachiopost {

/// Monotonic clock used for deadlines, leases and rates.
using steady = std::chrono::steady_clock;
/// A point in time on the monotonic clock.
using time_point = steady::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns `span` in milliseconds, rounded up so that a wait never ends early.
inline milliseconds ceil_milliseconds(steady::duration span)
{
    return std::chrono::ceil<milliseconds>(span);
}

} // namespace pistachiopost
