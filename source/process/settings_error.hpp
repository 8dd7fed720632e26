/// \file
/// Validation errors of settings documents.
#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <vector>

namespace pistachiopost {

/// One validation error in a settings document.
struct settings_fault
{
    std::string path;    ///< JSON pointer to the field.
    std::string problem; ///< The error and the allowed values.
};

/// Invalid settings document. Lists all validation errors found.
class settings_error : public std::runtime_error
{
public:
    explicit settings_error(std::vector<settings_fault> faults);
    /// Returns the validation errors, in the order of the checks.
    [[nodiscard]] std::span<const settings_fault> faults() const { return faults_; }

private:
    std::vector<settings_fault> faults_;
};

} // namespace pistachiopost
