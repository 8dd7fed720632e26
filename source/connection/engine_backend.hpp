/// \file
/// One connection of an agent to its model engine, used for one attempt after
/// another.
#pragma once

#include "connection/unique_fd.hpp"
#include "request/attempt_job.hpp"
#include "request/serve_attempts.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Called when the first token of an attempt has arrived.
using first_token_callback = std::function<void()>;

/// A backend server as the task of one of its connections uses it.
template <typename Backend>
concept backend_connection = requires(Backend& it, attempt_job& job,
                                      const first_token_callback& on_first)
{
    {
        it.run(job, on_first)
        } -> std::same_as<attempt_result>;
};

/// Runs completions at a model engine.
class engine_backend
{
public:
    /// `owner` names this run of the agent; a stream of a prompt under 32,000 tokens
    /// that is silent for `hang_timeout` counts as hung.
    engine_backend(endpoint where, std::string owner, milliseconds hang_timeout);
    ~engine_backend();
    engine_backend(engine_backend&&) noexcept;
    engine_backend& operator=(engine_backend&&) noexcept;

    /// Runs one attempt to its end; chunks go out as they arrive.
    attempt_result run(attempt_job& job, const first_token_callback& on_first);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Passes calls to a plain service.
class service_backend
{
public:
    explicit service_backend(endpoint where);
    /// Runs one call to its end.
    attempt_result run(attempt_job& job, const first_token_callback& on_first);

private:
    endpoint where_;
};

static_assert(backend_connection<engine_backend>);
static_assert(backend_connection<service_backend>);

} // namespace pistachiopost
