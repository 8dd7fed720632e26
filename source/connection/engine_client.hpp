/// \file
/// Short calls to a model engine: its state, its streams.
#pragma once

#include "connection/http_client.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// A stream or a reservation that holds memory at an engine.
struct engine_stream
{
    std::string id;    ///< Attempt identifier.
    std::string owner; ///< Run of the agent that started it.
};

/// What an engine says of itself.
struct engine_state
{
    std::string boot; ///< Changes when the engine restarts.
    std::uint64_t memory_tokens = 0;
    std::uint32_t slots = 0;
    double prefill_rate = 0; ///< Tokens a second.
    std::vector<engine_stream> streams;
};

/// Calls one engine. Used by one task at a time.
class engine_client
{
public:
    engine_client(const endpoint& where, milliseconds timeout);
    /// Returns the engine's state. Throws connection_error.
    engine_state state();
    /// Holds memory for a prompt that runs at another engine; returns whether there
    /// was room. Throws connection_error.
    bool reserve(std::string_view id, std::string_view owner, std::uint64_t tokens);
    /// Ends a stream or a reservation and frees its memory. Throws connection_error.
    void cancel(std::string_view stream);

private:
    http_client http_;
};

} // namespace pistachiopost
