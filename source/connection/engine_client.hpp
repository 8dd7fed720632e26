/// \file
/// Client of a model engine's control interface: state, reservations and streams.
#pragma once

#include "connection/http_client.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiopost {

/// A stream or a reservation that occupies memory on an engine.
struct engine_stream
{
    std::string id;    ///< Attempt identifier.
    std::string owner; ///< Identifies the run of the agent that started it.
};

/// State reported by an engine.
struct engine_state
{
    std::string boot; ///< Changes when the engine restarts.
    std::uint64_t memory_tokens = 0;
    std::uint32_t slots = 0;
    double prefill_rate = 0; ///< In tokens per second.
    std::vector<engine_stream> streams;
};

/// Calls one engine. Not thread-safe.
class engine_client
{
public:
    engine_client(const endpoint& remote, milliseconds timeout);
    /// Throws connection_error.
    engine_state state();
    /// Reserves memory for a prompt that runs on another engine; returns false if the
    /// engine has too little. Throws connection_error.
    bool reserve(std::string_view id, std::string_view owner, std::uint64_t tokens);
    /// Cancels a stream or a reservation, which frees its memory. Throws
    /// connection_error.
    void cancel(std::string_view stream);

private:
    http_client http_;
};

} // namespace pistachiopost
