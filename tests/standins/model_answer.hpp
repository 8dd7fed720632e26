/// \file
/// Deterministic answers of the simulated engine, shared by the engine and by the
/// clients that verify them.
#pragma once

#include <fmt/format.h>
#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace pistachiopost::standins {

/// Returns token `i` of the answer to a prompt with hash `seed`.
inline std::string answer_token(std::uint64_t seed, std::uint64_t i)
{
    return fmt::format("{:04x} ", XXH3_64bits_withSeed(&i, sizeof i, seed) & 0xFFFFU);
}

/// Returns the hash of a prompt, the seed of its answer.
inline std::uint64_t prompt_seed(std::string_view prompt)
{
    return XXH3_64bits(prompt.data(), prompt.size());
}

/// Returns the first `tokens` tokens of the answer to a prompt.
inline std::string expected_answer(std::string_view prompt, std::uint64_t tokens)
{
    std::string text;
    for (std::uint64_t i = 0; i < tokens; ++i)
    {
        text += answer_token(prompt_seed(prompt), i);
    }
    return text;
}

/// A prompt that contains this text crashes the engine that starts its prefill.
inline constexpr std::string_view poison_mark = "POISON-MARK";

} // namespace pistachiopost::standins
