/// \file
/// Prompt length classes and the cost of a request in prompt-token equivalents.
#pragma once

#include <cstdint>
#include <string_view>

namespace pistachiopost {

/// Prompt length classes, from the shortest to the longest.
enum class length_class
{
    brief,  ///< Under 4,000 tokens.
    medium, ///< 4,000 to 31,999 tokens.
    large,  ///< 32,000 to 99,999 tokens.
    huge    ///< 100,000 tokens and more.
};

/// Number of length classes.
inline constexpr std::size_t length_class_count = 4;

/// Average bytes of prompt text for each token.
inline constexpr std::uint64_t bytes_per_token = 5;

/// Cost of one generated token, in prompt tokens.
inline constexpr std::uint64_t generated_token_cost = 8;

length_class classify(std::uint64_t prompt_tokens);

/// Returns the label of `which` in reports.
std::string_view to_string(length_class which);

/// Returns whether prompts of class `which` compete for the long-prompt slots.
bool is_long(length_class which);

/// Estimates the number of tokens in a text of `bytes` bytes.
std::uint64_t estimate_tokens(std::uint64_t bytes);

/// Returns the cost of a request, in prompt-token equivalents.
std::uint64_t work_cost(std::uint64_t prompt_tokens, std::uint64_t output_tokens);

} // namespace pistachiopost
