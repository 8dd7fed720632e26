#include "process/fifo_queue.hpp"

#include <algorithm>

namespace pistachiopost {

namespace {

/// Disables the class limits that keep long prompts from delaying short ones.
dispatch_limits without_classes(dispatch_limits limits)
{
    limits.prefill_tokens.fill(limits.memory_tokens * 2);
    limits.running.fill(limits.slots);
    limits.long_memory_share = 1;
    return limits;
}

} // namespace

fifo_queue::fifo_queue(const dispatch_limits& limits) : window_(without_classes(limits))
{
}

std::optional<refusal> fifo_queue::check_admission(const queue_ticket& ticket,
                                                   time_point /*now*/) const
{
    return refuse_if_oversized(window_, queue_.size(), ticket);
}

void fifo_queue::push(const queue_ticket& ticket, time_point /*now*/)
{
    queue_.push_back(ticket);
}

std::optional<ticket_id> fifo_queue::take(time_point now)
{
    if (queue_.empty() || !window_.fits(queue_.front()))
    {
        return std::nullopt;
    }
    const auto ticket = queue_.front();
    queue_.pop_front();
    window_.start(ticket, now);
    return ticket.id;
}

bool fifo_queue::erase(ticket_id id)
{
    return std::erase_if(queue_, [id](const queue_ticket& it) { return it.id == id; }) >
           0;
}

std::vector<ticket_id> fifo_queue::expired(time_point now)
{
    std::vector<ticket_id> late;
    std::erase_if(queue_, [&late, now](const queue_ticket& it) {
        if (it.deadline > now)
        {
            return false;
        }
        late.push_back(it.id);
        return true;
    });
    return late;
}

std::optional<time_point> fifo_queue::next_expiry(time_point /*now*/) const
{
    std::optional<time_point> earliest;
    for (const auto& ticket : queue_)
    {
        earliest = std::min(earliest.value_or(ticket.deadline), ticket.deadline);
    }
    return earliest;
}

work_ahead fifo_queue::ahead_of_new_customer(length_class /*prompt_class*/,
                                             time_point /*now*/) const
{
    work_ahead ahead{window_.unfinished_prefill(length_class::huge),
                     static_cast<std::uint32_t>(queue_.size()), 0};
    for (const auto& ticket : queue_)
    {
        ahead.prefill_tokens += ticket.prompt_tokens;
    }
    return ahead;
}

} // namespace pistachiopost
