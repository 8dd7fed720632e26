#include "process/settings_error.hpp"

#include <fmt/format.h>

namespace pistachiopost {

namespace {

std::string describe(std::span<const settings_diagnostic> diagnostics)
{
    std::string text;
    for (const auto& it : diagnostics)
    {
        text += fmt::format("{}{}: {}", text.empty() ? "" : "\n", it.path, it.message);
    }
    return text;
}

} // namespace

settings_error::settings_error(std::vector<settings_diagnostic> diagnostics)
    : std::runtime_error(describe(diagnostics)), diagnostics_(std::move(diagnostics))
{
}

} // namespace pistachiopost
