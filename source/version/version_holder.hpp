/// \file
/// Thread-safe holder of the current version of a document in this process.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>

namespace pistachiopost {

/// Holds the newest version. Versions that are not newer than the current one are
/// ignored.
template <typename Version>
class version_holder
{
public:
    /// Returns the current version, or null before the first one.
    [[nodiscard]] std::shared_ptr<const Version> current() const
    {
        const std::lock_guard lock(mutex_);
        return current_;
    }

    /// Returns the number of the current version, or 0 before the first one.
    [[nodiscard]] std::uint64_t version() const
    {
        const auto it = current();
        return it ? it->version() : 0;
    }

    /// Replaces the current version by `next` if that is newer. Returns whether it was.
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
