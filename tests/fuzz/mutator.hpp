/// \file
/// Derives fuzz inputs from a corpus, deterministically for a given seed.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace pistachiopost {

/// Produces mutated copies of corpus inputs.
class mutator
{
public:
    mutator(std::vector<std::string> corpus, std::uint64_t seed)
        : corpus_(std::move(corpus)), random_(seed)
    {
    }

    /// Returns a randomly chosen corpus input with one to eight mutations applied.
    std::string next()
    {
        auto it = corpus_[random_below(corpus_.size())];
        for (auto n = 1 + random_below(8); n > 0; --n)
        {
            mutate(it);
        }
        it.resize(std::min(it.size(), max_input_bytes));
        return it;
    }

    /// Returns a random number in [0, n); `n` must not be 0.
    std::size_t random_below(std::size_t n) { return random_() % n; }

private:
    // Fits into a socket buffer, so that writing an input never blocks.
    static constexpr std::size_t max_input_bytes = 65'536;

    void mutate(std::string& it)
    {
        const auto at = random_below(it.size() + 1);
        switch (random_below(6))
        {
        case 0: // replace a byte
            if (at < it.size())
            {
                it[at] = static_cast<char>(random_below(256));
            }
            break;
        case 1: // insert a byte
            it.insert(at, 1, static_cast<char>(random_below(256)));
            break;
        case 2: // erase a range
            it.erase(at, random_below(16));
            break;
        case 3: // duplicate a range
            it.insert(at, it.substr(at, random_below(64)));
            break;
        case 4: // splice the head of one input with the tail of another
        {
            const auto& other = corpus_[random_below(corpus_.size())];
            it = it.substr(0, at) + other.substr(random_below(other.size() + 1));
            break;
        }
        default: // insert a token that parsers treat specially
        {
            static const std::vector<std::string> tokens{"\r\n",
                                                         "\r\n\r\n",
                                                         "\n",
                                                         std::string(1, '\0'),
                                                         "0\r\n\r\n",
                                                         "ffffffffffffffff\r\n",
                                                         "Content-Length: 5\r\n",
                                                         "Transfer-Encoding: chunked\r\n",
                                                         ":",
                                                         ",",
                                                         "-1",
                                                         "18446744073709551616",
                                                         "{",
                                                         "}",
                                                         "[",
                                                         "null",
                                                         "id: ",
                                                         "\xff"};
            it.insert(at, tokens[random_below(tokens.size())]);
            break;
        }
        }
    }

    std::vector<std::string> corpus_;
    std::mt19937_64 random_;
};

} // namespace pistachiopost
