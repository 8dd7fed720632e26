/// \file
/// Incremental parser of server-sent events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Accepts bytes in arbitrary fragments and returns the `data` field of each complete
/// event. Events without a leading `data` field are skipped.
class sse_reader
{
public:
    void feed(std::string_view bytes) { buffer_ += bytes; }

    /// Returns the data of the next event once it is complete.
    std::optional<std::string> next()
    {
        constexpr std::string_view prefix = "data: ";
        constexpr std::string_view end_mark = "\n\n";
        while (true)
        {
            const auto end = buffer_.find(end_mark, position_);
            if (end == std::string::npos)
            {
                buffer_.erase(0, position_);
                position_ = 0;
                return std::nullopt;
            }
            const auto event =
                std::string_view(buffer_).substr(position_, end - position_);
            position_ = end + end_mark.size();
            if (event.starts_with(prefix))
            {
                return std::string(event.substr(prefix.size()));
            }
        }
    }

    /// Returns the size of an event that is not complete.
    [[nodiscard]] std::size_t partial_bytes() const { return buffer_.size() - position_; }

private:
    std::string buffer_;
    std::size_t position_ = 0;
};

} // namespace pistachiopost
