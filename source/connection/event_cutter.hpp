/// \file
/// Cuts a stream of server-sent events into whole events, byte for byte.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Takes bytes in any pieces and yields whole events unchanged.
class event_cutter
{
public:
    /// Adds received bytes.
    void feed(std::string_view bytes) { buffer_ += bytes; }

    /// Returns all whole events that have arrived, as they stand, and remembers the
    /// identifier of the last one; empty if there is none.
    std::string take_whole_events();
    /// Returns the identifier of the last event taken, if any carried one.
    [[nodiscard]] const std::optional<std::string>& last_id() const { return last_id_; }
    /// Returns whether bytes of a further event have arrived.
    [[nodiscard]] bool has_partial() const { return !buffer_.empty(); }
    /// Forgets the bytes of a broken event.
    void drop_partial() { buffer_.clear(); }

private:
    std::string buffer_;
    std::optional<std::string> last_id_;
};

} // namespace pistachiopost
