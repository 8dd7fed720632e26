/// \file
/// Carries the events of one attempt from a peer's task to the caller's task.
#pragma once

#include "connection/unique_fd.hpp"
#include "request/attempt.hpp"

#include <deque>
#include <mutex>
#include <optional>

namespace pistachiopost {

/// A queue of attempt events whose reader can wait in poll() together with its
/// own socket. Any thread may push; one thread takes.
class event_queue
{
public:
    /// Opens the descriptor. Throws connection_error if none is left.
    event_queue();
    /// Appends an event and wakes the reader.
    void push(attempt_event event);
    /// Returns the next event, if any, without waiting.
    std::optional<attempt_event> try_pop();
    /// Returns the descriptor that is readable while events wait.
    [[nodiscard]] int fd() const { return wake_.get(); }

private:
    std::mutex mutex_;
    std::deque<attempt_event> events_;
    unique_fd wake_;
};

} // namespace pistachiopost
