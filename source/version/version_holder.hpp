/// \file
/// Holds the version in force in this process, of whatever kind.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>

namespace pistachiopost {

/// Moves only forward: an older or equal version is ignored.
template <typename Version>
class version_holder
{
public:
    /// Returns the version in force, or null before the first one.
    [[nodiscard]] std::shared_ptr<const Version> current() const
    {
        const std::lock_guard lock(mutex_);
        return current_;
    }

    /// Returns the number of the version in force, 0 before the first one.
    [[nodiscard]] std::uint64_t version() const
    {
        const auto it = current();
        return it ? it->version() : 0;
    }

    /// Puts `next` in force if it is newer; returns whether it was.
    bool advance(std::shared_ptr<const Version> next)
    {
        const std::lock_guard lock(mutex_);
        if (!next || (current_ && next->version() <= current_->version()))
        {
            return false;
        }
        current_ = std::move(next);
        return true;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const Version> current_;
};

} // namespace pistachiopost
