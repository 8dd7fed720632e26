/// \file
/// Queue of attempt events between the task of a peer and the task of a caller.
#pragma once

#include "connection/unique_fd.hpp"
#include "request/attempt.hpp"

#include <deque>
#include <mutex>
#include <optional>

namespace pistachiopost {

/// Queue of attempt events with a descriptor, so that the reader can poll() it together
/// with its socket. Any thread may push; only one thread may pop.
class event_queue
{
public:
    /// Opens the descriptor. Throws connection_error if the process has none left.
    event_queue();
    /// Appends an event and signals the descriptor.
    void push(attempt_event event);
    /// Removes and returns the next event; returns nothing if the queue is empty.
    std::optional<attempt_event> try_pop();
    /// Returns the descriptor, which is readable while the queue holds events.
    [[nodiscard]] int fd() const { return wake_.get(); }

private:
    std::mutex mutex_;
    std::deque<attempt_event> events_;
    unique_fd wake_;
};

} // namespace pistachiopost
