/// \file
/// Errors of the process layer.
#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <vector>

namespace pistachiopost {

/// One fault in a settings document.
struct settings_fault
{
    std::string path;    ///< JSON pointer of the place.
    std::string problem; ///< What is wrong and what is allowed.
};

/// A settings document cannot be used. Lists every fault found.
class settings_error : public std::runtime_error
{
public:
    explicit settings_error(std::vector<settings_fault> faults);
    /// Returns all faults, in document order of the checks.
    [[nodiscard]] std::span<const settings_fault> faults() const { return faults_; }

private:
    std::vector<settings_fault> faults_;
};

} // namespace pistachiopost
