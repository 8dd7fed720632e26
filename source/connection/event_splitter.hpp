/// \file
/// Splits a stream of server-sent events at event boundaries, without changing bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Accepts bytes in arbitrary fragments and returns complete events unchanged.
class event_splitter
{
public:
    void feed(std::string_view bytes) { buffer_ += bytes; }

    /// Returns all complete events received so far, or an empty string, and records the
    /// `id` field of the last one.
    std::string take_complete_events();
    /// Returns whether the complete events received so far begin with an id that does not
    /// follow the last one returned. Ids are increasing numbers.
    [[nodiscard]] bool repeats_events() const;
    /// Returns the last `id` field among the returned events, if any had one.
    [[nodiscard]] const std::optional<std::string>& last_id() const { return last_id_; }
    /// Returns whether an incomplete event is buffered.
    [[nodiscard]] bool has_partial() const { return !buffer_.empty(); }
    [[nodiscard]] std::size_t partial_bytes() const { return buffer_.size(); }
    /// Discards the incomplete event.
    void discard_partial() { buffer_.clear(); }

    /// Returns whether any of `events` carries data. Comments and empty events do not.
    static bool carries_data(std::string_view events);

private:
    std::string buffer_;
    std::optional<std::string> last_id_;
};

} // namespace pistachiopost
