/// \file
/// Validation errors of settings documents.
#pragma once

#include <span>
#include <stdexcept>
#include <string>
#include <vector>

namespace pistachiopost {

/// One validation error in a settings document.
struct settings_diagnostic
{
    std::string path;    ///< JSON pointer to the field.
    std::string message; ///< The error and the allowed values.
};

/// Invalid settings document. Lists all validation errors found.
class settings_error : public std::runtime_error
{
public:
    explicit settings_error(std::vector<settings_diagnostic> diagnostics);
    /// Returns the validation errors, in the order of the checks.
    [[nodiscard]] std::span<const settings_diagnostic> diagnostics() const
    {
        return diagnostics_;
    }

private:
    std::vector<settings_diagnostic> diagnostics_;
};

} // namespace pistachiopost
