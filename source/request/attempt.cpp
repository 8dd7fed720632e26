#include "request/attempt.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace pistachiopost {

attempt_order make_order(const request& req, std::uint32_t number,
                         std::uint64_t resume_offset, time_point now)
{
    attempt_order it;
    it.attempt_id = fmt::format("{}.{}", req.id, number);
    it.customer = req.customer;
    it.weight = req.weight;
    it.kind = req.kind;
    it.target = req.target;
    it.method = req.method;
    it.path = req.path;
    it.content_type = req.content_type;
    it.prompt_tokens = req.prompt_tokens;
    it.output_tokens = req.output_tokens;
    it.resume_offset = resume_offset;
    it.fingerprint = req.fingerprint;
    it.remaining = std::max(milliseconds{0},
                            std::chrono::duration_cast<milliseconds>(req.deadline - now));
    it.repeatable = req.repeatable;
    it.configuration_version = req.configuration_version;
    return it;
}

} // namespace pistachiopost
