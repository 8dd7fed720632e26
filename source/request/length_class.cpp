#include "request/length_class.hpp"

namespace pistachiopost {

namespace {

constexpr std::uint64_t medium_from = 4'000; // tokens
constexpr std::uint64_t large_from = 32'000; // tokens
constexpr std::uint64_t huge_from = 100'000; // tokens

} // namespace

length_class classify(std::uint64_t prompt_tokens)
{
    if (prompt_tokens < medium_from)
    {
        return length_class::brief;
    }
    if (prompt_tokens < large_from)
    {
        return length_class::medium;
    }
    return prompt_tokens < huge_from ? length_class::large : length_class::huge;
}

std::string_view to_string(length_class which)
{
    switch (which)
    {
    case length_class::brief:
        return "under 4k";
    case length_class::medium:
        return "4k to 32k";
    case length_class::large:
        return "32k to 100k";
    case length_class::huge:
        break;
    }
    return "over 100k";
}

bool is_long(length_class which)
{
    return which == length_class::large || which == length_class::huge;
}

std::uint64_t estimate_tokens(std::uint64_t bytes)
{
    return (bytes + bytes_per_token - 1) / bytes_per_token;
}

std::uint64_t work_cost(std::uint64_t prompt_tokens, std::uint64_t output_tokens)
{
    return prompt_tokens + output_tokens * generated_token_cost;
}

} // namespace pistachiopost
