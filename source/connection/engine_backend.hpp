/// \file
/// Connections of an agent to its backend server. Each runs one attempt at a time.
#pragma once

#include "connection/unique_fd.hpp"
#include "request/attempt_job.hpp"
#include "request/serve_attempts.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Called when the first token of an attempt arrives.
using first_token_callback = std::function<void()>;

/// A connection to a backend server that runs attempts.
template <typename Backend>
concept backend_connection = requires(Backend& it, attempt_job& job,
                                      const first_token_callback& on_first_token)
{
    {
        it.run(job, on_first_token)
        } -> std::same_as<attempt_result>;
};

/// Runs completions on a model engine.
class engine_backend
{
public:
    /// `owner` identifies this run of the agent. A stream whose prompt has fewer than
    /// 32,000 tokens is treated as hung after `hang_timeout` without data.
    engine_backend(endpoint remote, std::string owner, milliseconds hang_timeout);
    ~engine_backend();
    engine_backend(engine_backend&&) noexcept;
    engine_backend& operator=(engine_backend&&) noexcept;

    /// Runs one attempt to completion and sends chunks as they arrive.
    attempt_result run(attempt_job& job, const first_token_callback& on_first_token);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Forwards calls to a plain service.
class service_backend
{
public:
    explicit service_backend(endpoint remote);
    /// Runs one call to completion.
    attempt_result run(attempt_job& job, const first_token_callback& on_first_token);

private:
    endpoint remote_;
};

static_assert(backend_connection<engine_backend>);
static_assert(backend_connection<service_backend>);

} // namespace pistachiopost
