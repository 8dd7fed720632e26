#include "request/event_queue.hpp"

#include <utility>

namespace pistachiopost {

event_queue::event_queue() : wake_(open_event_fd()) {}

void event_queue::push(attempt_event event)
{
    const std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
    signal_event_fd(wake_);
}

std::optional<attempt_event> event_queue::try_pop()
{
    const std::lock_guard lock(mutex_);
    if (events_.empty())
    {
        clear_event_fd(wake_);
        return std::nullopt;
    }
    auto event = std::move(events_.front());
    events_.pop_front();
    return event;
}

} // namespace pistachiopost
