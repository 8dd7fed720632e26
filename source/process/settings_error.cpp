#include "process/settings_error.hpp"

#include <fmt/format.h>

namespace pistachiopost {

namespace {

std::string describe(std::span<const settings_fault> faults)
{
    std::string text;
    for (const auto& it : faults)
    {
        text += fmt::format("{}{}: {}", text.empty() ? "" : "\n", it.path, it.problem);
    }
    return text;
}

} // namespace

settings_error::settings_error(std::vector<settings_fault> faults)
    : std::runtime_error(describe(faults)), faults_(std::move(faults))
{
}

} // namespace pistachiopost
