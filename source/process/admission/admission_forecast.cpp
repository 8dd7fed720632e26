#include "process/admission/admission_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace pistachiopost {

namespace {

using float_ms = std::chrono::duration<double, std::milli>;

// Engines on which one prompt is read at most: the main one and its helpers.
constexpr std::size_t max_reading_engines = 17;
// Smoothing gains of RFC 6298, as for response delays.
constexpr double mean_gain = 1.0 / 8;
constexpr double deviation_gain = 1.0 / 4;

steady::duration to_duration(double ms)
{
    return std::chrono::duration_cast<steady::duration>(float_ms(ms));
}

/// Returns the time to generate the answer with no other request on the engine.
double decode_ms(const placement_request& request)
{
    const auto& engine = *request.engine;
    const double passes = std::ceil(static_cast<double>(request.output_tokens) /
                                    std::max(engine.steps_per_pass, 1U));
    return passes * engine.pass_ms(1, request.prompt_tokens);
}

run_forecast forecast_from(const placement_request& request, double first_event_ms)
{
    return {to_duration(first_event_ms),
            to_duration(first_event_ms + decode_ms(request))};
}

} // namespace

run_forecast forecast_run(const placement_request& request, const placement& place)
{
    return request.engine == nullptr ? run_forecast()
                                     : forecast_from(request, place.first_event_ms);
}

run_forecast forecast_best_run(const placement_request& request, std::size_t engines)
{
    if (request.engine == nullptr)
    {
        return {};
    }
    const auto parts =
        engines == 0 ? max_reading_engines : std::min(engines, max_reading_engines);
    return forecast_from(request, request.engine->prefill_ms(request.prompt_tokens) /
                                      static_cast<double>(parts));
}

time_point latest_start(const run_forecast& run, const caller_deadlines& deadlines,
                        steady::duration delay)
{
    return std::min(deadlines.first_event - run.first_event,
                    deadlines.complete - run.complete) -
           delay;
}

long_queue_forecast::long_queue_forecast(std::span<const placement_candidate> candidates)
    : engines_(static_cast<double>(std::max<std::size_t>(long_pool_size(candidates), 1)))
{
    for (const auto& it : candidates)
    {
        ahead_ms_ += it.load.prefill_ms;
    }
}

steady::duration long_queue_forecast::next_wait(double prefill_ms, double peers_ms)
{
    const auto result = to_duration((ahead_ms_ + peers_ms) / engines_);
    ahead_ms_ += prefill_ms;
    return result;
}

void forecast_error::add(steady::duration lateness)
{
    const double ms = float_ms(lateness).count();
    if (!deviation_ms_)
    {
        mean_ms_ = ms;
        deviation_ms_ = std::abs(ms) / 2;
        return;
    }
    *deviation_ms_ += deviation_gain * (std::abs(ms - mean_ms_) - *deviation_ms_);
    mean_ms_ += mean_gain * (ms - mean_ms_);
}

steady::duration forecast_error::mean() const
{
    return to_duration(std::max(mean_ms_, 0.0));
}

std::optional<steady::duration> forecast_error::deviation() const
{
    return deviation_ms_ ? std::optional(to_duration(*deviation_ms_)) : std::nullopt;
}

} // namespace pistachiopost
