#include "process/crash_log.hpp"

#include "process/logging.hpp"

#include <fmt/ranges.h>

namespace pistachiopost {

std::string to_string(const suspect& subject)
{
    const bool is_request = subject.kind == suspect_kind::request;
    return fmt::format("{} {:x}", is_request ? "request" : "part", subject.id);
}

void log_blocked(const new_block& block, std::string_view reporter)
{
    std::vector<std::string_view> backends;
    for (const auto& it : block.crashes)
    {
        backends.push_back(it.backend);
    }
    log_event(log_level::warn, "blocked: backend servers crash on it",
              {{"suspect", to_string(block.subject)},
               {"crashed", fmt::format("{}", fmt::join(backends, ","))},
               {"reported_by", reporter}});
}

} // namespace pistachiopost
