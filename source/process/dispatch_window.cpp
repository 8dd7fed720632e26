#include "process/dispatch_window.hpp"

#include <algorithm>
#include <numeric>

namespace pistachiopost {

namespace {

constexpr double min_engine_share = 0.1; // left to a class by shorter prompts
constexpr double ewma_weight = 0.1;      // weight of a new sample
constexpr std::uint64_t rate_sample_tokens = 100'000; // prompt tokens per rate sample

std::size_t index(length_class prompt_class)
{
    return static_cast<std::size_t>(prompt_class);
}

} // namespace

dispatch_window::dispatch_window(const dispatch_limits& limits)
    : limits_(limits), prefill_rate_(limits.prefill_rate)
{
}

bool dispatch_window::fits(const queue_ticket& ticket, std::uint64_t reserve) const
{
    const auto class_index = index(ticket.size_class());
    if (running() >= limits_.slots ||
        running_[class_index] >= limits_.running[class_index])
    {
        return false;
    }
    if (ticket.isolated && isolated_running_)
    {
        return false;
    }
    const auto withheld = is_long(ticket.size_class()) ? reserve : 0;
    if (memory_used_ + ticket.memory() + withheld > limits_.memory_tokens)
    {
        return false;
    }
    const auto long_limit = static_cast<std::uint64_t>(
        limits_.long_memory_share * static_cast<double>(limits_.memory_tokens));
    const bool alone = long_memory_used_ == 0;
    if (is_long(ticket.size_class()) && !alone &&
        long_memory_used_ + ticket.memory() > long_limit)
    {
        return false;
    }
    const auto prefill = prefill_[class_index];
    return prefill == 0 ||
           prefill + ticket.prompt_tokens <= limits_.prefill_tokens[class_index];
}

bool dispatch_window::can_ever_fit(const queue_ticket& ticket) const
{
    return ticket.memory() <= limits_.memory_tokens;
}

time_point dispatch_window::latest_start(const queue_ticket& ticket,
                                         double busy_share) const
{
    return ticket.deadline -
           prefill_time_under_load(prefill_time(ticket.prompt_tokens), busy_share) -
           generation_time(ticket);
}

milliseconds dispatch_window::prefill_time_under_load(milliseconds prefill,
                                                      double busy_share)
{
    const auto left = std::max(1 - busy_share, min_engine_share);
    return milliseconds{
        static_cast<milliseconds::rep>(static_cast<double>(prefill.count()) / left)};
}

milliseconds dispatch_window::prefill_time(std::uint64_t tokens) const
{
    const auto rate = std::max(prefill_rate_, 1.0);
    return milliseconds{
        static_cast<milliseconds::rep>(1'000.0 * static_cast<double>(tokens) / rate)};
}

milliseconds dispatch_window::generation_time(const queue_ticket& ticket) const
{
    return limits_.token_interval * static_cast<milliseconds::rep>(ticket.output_tokens);
}

void dispatch_window::start(const queue_ticket& ticket, time_point now)
{
    const auto class_index = index(ticket.size_class());
    note_prefill_started(now);
    attempts_.emplace(ticket.id, running_attempt{ticket, now});
    prefill_[class_index] += ticket.prompt_tokens;
    ++running_[class_index];
    memory_used_ += ticket.memory();
    if (is_long(ticket.size_class()))
    {
        long_memory_used_ += ticket.memory();
    }
    isolated_running_ = isolated_running_ || ticket.isolated;
}

void dispatch_window::on_first_token(ticket_id id, time_point now)
{
    const auto it = attempts_.find(id);
    if (it == attempts_.end() || !it->second.prefilling)
    {
        return;
    }
    const auto& ticket = it->second.ticket;
    it->second.prefilling = false;
    sampled_tokens_ += ticket.prompt_tokens;
    note_prefill_ended(ticket, now);
}

void dispatch_window::note_prefill_started(time_point now)
{
    if (unfinished_prefill(length_class::huge) == 0)
    {
        busy_since_ = now;
    }
}

/// Removes the attempt from the unfinished prefill. The rate is measured over all time
/// with unfinished prefill, independent of the order in which the engine runs it.
void dispatch_window::note_prefill_ended(const queue_ticket& ticket, time_point now)
{
    prefill_[index(ticket.size_class())] -= ticket.prompt_tokens;
    busy_time_ += now - busy_since_;
    busy_since_ = now;
    if (sampled_tokens_ < rate_sample_tokens || busy_time_ <= steady::duration{0})
    {
        return;
    }
    const std::chrono::duration<double> spent = busy_time_;
    const auto rate = static_cast<double>(sampled_tokens_) / spent.count();
    prefill_rate_ += ewma_weight * (rate - prefill_rate_);
    sampled_tokens_ = 0;
    busy_time_ = steady::duration{0};
}

void dispatch_window::on_finished(ticket_id id, time_point now)
{
    const auto it = attempts_.find(id);
    if (it == attempts_.end())
    {
        return;
    }
    const auto& ticket = it->second.ticket;
    const auto class_index = index(ticket.size_class());
    if (it->second.prefilling)
    {
        note_prefill_ended(ticket, now);
    }
    --running_[class_index];
    memory_used_ -= ticket.memory();
    if (is_long(ticket.size_class()))
    {
        long_memory_used_ -= ticket.memory();
    }
    isolated_running_ = isolated_running_ && !ticket.isolated;
    const std::chrono::duration<double, std::milli> held = now - it->second.started;
    mean_slot_time_ms_ += ewma_weight * (held.count() - mean_slot_time_ms_);
    attempts_.erase(it);
}

std::uint64_t dispatch_window::unfinished_prefill(length_class prompt_class) const
{
    const auto end =
        prefill_.begin() + static_cast<std::ptrdiff_t>(index(prompt_class)) + 1;
    return std::accumulate(prefill_.begin(), end, std::uint64_t{0});
}

std::uint32_t dispatch_window::running() const
{
    return static_cast<std::uint32_t>(attempts_.size());
}

milliseconds dispatch_window::mean_slot_time() const
{
    return milliseconds{static_cast<milliseconds::rep>(mean_slot_time_ms_)};
}

void dispatch_window::set_capacity(std::uint64_t memory_tokens, std::uint32_t slots,
                                   double prefill_rate)
{
    const bool first_time = prefill_rate_ == limits_.prefill_rate;
    limits_.memory_tokens = memory_tokens;
    limits_.slots = slots;
    limits_.prefill_rate = prefill_rate;
    if (first_time)
    {
        prefill_rate_ = prefill_rate;
    }
}

} // namespace pistachiopost
