/// \file
/// Identifiers that stay unique across processes and restarts.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Issues identifiers of the form VM-BOOT-COUNT. BOOT is drawn at random when
/// the process starts, so a restarted process never repeats an identifier.
class request_id_source
{
public:
    /// Uses the random source of the system for the boot part.
    explicit request_id_source(std::string_view vm);
    /// Returns a new identifier. Safe to call from any thread.
    std::string next();
    /// Returns the part that identifies this run of the process.
    [[nodiscard]] const std::string& boot() const { return boot_; }

private:
    std::string boot_;
    std::atomic<std::uint64_t> count_{0};
};

} // namespace pistachiopost
