/// \file
/// Records which backend server last answered a prompt with a given prefix.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pistachiopost {

/// A bounded table of hints. A wrong or missing hint affects performance only.
class prefix_affinity
{
public:
    /// Returns the VM that probably caches the prefix, or an empty string.
    [[nodiscard]] std::string find(std::uint64_t prefix_hash) const
    {
        const std::lock_guard lock(mutex_);
        const auto it = servers_.find(prefix_hash);
        return it == servers_.end() ? std::string() : it->second;
    }

    /// Records that `vm` answered a prompt with the prefix. Hash 0 means none.
    void remember(std::uint64_t prefix_hash, std::string_view vm)
    {
        if (prefix_hash == 0)
        {
            return;
        }
        const std::lock_guard lock(mutex_);
        if (servers_.size() >= max_prefixes)
        {
            servers_.erase(servers_.begin());
        }
        servers_.insert_or_assign(prefix_hash, std::string(vm));
    }

private:
    static constexpr std::size_t max_prefixes = 20'000;

    mutable std::mutex mutex_;
    std::unordered_map<std::uint64_t, std::string> servers_;
};

} // namespace pistachiopost
