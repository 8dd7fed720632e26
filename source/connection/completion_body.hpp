/// \file
/// Extracts the fields that an entry needs from the JSON body of a completion request.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Thrown for an invalid request body. The message is returned to the caller and says
/// what to send instead.
class body_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// The fields of a completion or chat completion request. The prompt itself is not
/// stored, because the body is forwarded unchanged.
struct completion_body
{
    std::string model;
    std::uint64_t prompt_bytes = 0;
    std::string prefix; ///< First bytes of the prompt.
    std::uint32_t max_tokens = 16;
    bool stream = false;
};

/// Parses `text` with a SAX parser, without building a document tree. `chat` selects
/// `messages` rather than `prompt`. Throws body_error.
completion_body parse_completion_body(std::string_view text, bool chat);

} // namespace pistachiopost
