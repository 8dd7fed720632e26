/// \file
/// Forecasts when a waiting request would start and be answered, with the measured error.
///
/// Answers overload: engine time spent on a prompt whose caller leaves before the end is
/// lost for all others, and a caller that is rejected early can still use its time.
#pragma once

#include "process/placement/placement.hpp"
#include "request/time_types.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace pistachiopost {

/// By when a caller needs its answer, or leaves.
struct caller_deadlines
{
    time_point first_event; ///< Without an event by then the caller leaves.
    time_point complete = time_point::max(); ///< A later end is worthless.
    bool begun = false; ///< The answer has begun: it is continued as long as possible.
};

/// Expected course of a request from its start.
struct run_forecast
{
    steady::duration first_event{0};
    steady::duration complete{0};
};

/// Returns the course of a placed request: its prefill as placed, then its decoding.
run_forecast forecast_run(const placement_request& request, const placement& place);

/// Returns the shortest possible course, on idle engines that all prefill an equal part.
/// Nothing is known of a plain service: its calls may take no time. Without any of the
/// `engines` as many as a prompt can use may return.
run_forecast forecast_best_run(const placement_request& request, std::size_t engines);

/// Returns until when a request must start to meet its deadlines, if its first event
/// comes `delay` later than forecast.
time_point latest_start(const run_forecast& run, const caller_deadlines& deadlines,
                        steady::duration delay);

/// Forecasts the waits of queued long prompts, asked for in the order of the queue: the
/// engines of the pool for long prompts share the prefill that runs and waits.
/// Optimistic, since engines are taken to be busy all the time.
class long_queue_forecast
{
public:
    explicit long_queue_forecast(std::span<const placement_candidate> candidates);

    /// Returns the wait of the next prompt in the queue. `peers_ms` is the prefill time
    /// that peers place before it.
    steady::duration next_wait(double prefill_ms, double peers_ms);

private:
    double engines_ = 1;
    double ahead_ms_ = 0; ///< Running, and of the prompts asked for before.
};

/// Smoothed error of a forecast: how much later than forecast the outcome comes, and how
/// far outcomes scatter. Not thread-safe.
class forecast_error
{
public:
    void add(steady::duration lateness);
    /// Returns the mean lateness, at least 0.
    [[nodiscard]] steady::duration mean() const;
    /// Returns the mean deviation; nothing as long as no outcome is known.
    [[nodiscard]] std::optional<steady::duration> deviation() const;

private:
    double mean_ms_ = 0;
    std::optional<double> deviation_ms_;
};

} // namespace pistachiopost
