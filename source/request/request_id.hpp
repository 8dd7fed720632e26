/// \file
/// Request identifiers that are unique across processes and restarts.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Issues identifiers of the form VM-BOOT-COUNT. BOOT is a random number chosen when the
/// process starts, so that a restarted process does not reuse identifiers.
class request_id_source
{
public:
    /// Reads the boot part from the random source of the system.
    explicit request_id_source(std::string_view vm);
    /// Returns a new identifier. Thread-safe.
    std::string next();
    /// Returns the VM-BOOT prefix, which identifies this run of the process.
    [[nodiscard]] const std::string& boot() const { return boot_; }

private:
    std::string boot_;
    std::atomic<std::uint64_t> count_{0};
};

} // namespace pistachiopost
