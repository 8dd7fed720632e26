/// \file
/// Decodes callers' HTTP requests.
#pragma once

#include "process/entry_state.hpp"
#include "request/refusal.hpp"
#include "request/request.hpp"

#include <httplib.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Thrown for a request that is refused while it is decoded.
class refused_request : public std::runtime_error
{
public:
    explicit refused_request(refusal why)
        : std::runtime_error(why.detail), why_(std::move(why))
    {
    }
    /// Returns the refusal; its run state is not_run.
    [[nodiscard]] const refusal& why() const { return why_; }

private:
    refusal why_;
};

/// A decoded completion request.
struct decoded_completion
{
    request value;
    bool stream = false;
    bool chat = false;
};

/// Authenticates and decodes one HTTP request. All members throw refused_request.
class caller_request_decoder
{
public:
    /// Authenticates the caller against the current configuration version.
    caller_request_decoder(const entry_state& state, const httplib::Request& http,
                           std::string body, time_point now);

    /// Decodes a completion or chat completion request.
    [[nodiscard]] decoded_completion decode_completion(std::string_view id);
    /// Decodes a call of a plain service.
    [[nodiscard]] request decode_call(std::string_view id);
    /// Returns the list of models as JSON.
    [[nodiscard]] std::string models_json() const;

private:
    [[nodiscard]] time_point deadline() const;
    [[nodiscard]] bool marked_not_repeatable() const;
    [[nodiscard]] std::string idempotency_key() const;
    [[nodiscard]] std::shared_ptr<const std::string> take_body();

    const entry_state& state_;
    const httplib::Request& http_;
    std::string body_;
    time_point now_;
    std::shared_ptr<const configuration> version_;
    const customer* customer_ = nullptr;
};

} // namespace pistachiopost
