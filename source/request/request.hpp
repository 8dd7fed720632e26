/// \file
/// One admitted-or-not request of a caller, independent of its encoding.
#pragma once

#include "request/length_class.hpp"
#include "request/time_types.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace pistachiopost {

/// What kind of backend server a request needs.
enum class work_kind
{
    completion, ///< A prompt for a model engine.
    service,    ///< A call of a plain service.
    reservation ///< Memory held for a prompt that runs at another engine.
};

/// A caller's request. The body is shared, never copied, between attempts.
struct request
{
    std::string id;           ///< Unique across processes and restarts.
    std::string customer;     ///< Name of the customer.
    std::uint32_t weight = 1; ///< The customer's share.
    work_kind kind = work_kind::completion;
    std::string target;       ///< Model or service name.
    std::string method;       ///< HTTP method passed to a plain service.
    std::string path;         ///< Path passed to the backend server.
    std::string content_type; ///< Media type of the body.
    std::shared_ptr<const std::string> body;
    std::uint64_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::uint64_t prefix_hash = 0; ///< Hash of the first bytes of the prompt.
    std::uint64_t fingerprint = 0; ///< Hash of target and whole body.
    bool repeatable = true;        ///< False if a second execution does harm.
    std::string idempotency_key;   ///< Empty if the caller gave none.
    time_point deadline;
    std::uint64_t configuration_version = 0;
};

/// Builds a request and fills in the fields derived from others.
class request_builder
{
public:
    /// Starts a request with identifier `id`.
    explicit request_builder(std::string_view id);
    /// Sets the customer and its weight.
    request_builder& customer(std::string_view name, std::uint32_t weight);
    /// Makes it a completion by `model` with the given body. `prefix` is the start
    /// of the prompt.
    request_builder& completion(std::string_view model, std::string_view path,
                                std::shared_ptr<const std::string> body,
                                std::uint64_t prompt_tokens, std::string_view prefix,
                                std::uint32_t output_tokens);
    /// Makes it a call of the plain service `name`.
    request_builder& service(std::string_view name, std::string_view method,
                             std::string_view path,
                             std::shared_ptr<const std::string> body);
    /// Sets the media type of the body.
    request_builder& content_type(std::string_view type);
    /// Says whether the request may run more than once.
    request_builder& repeatable(bool yes);
    /// Sets the caller's idempotency key.
    request_builder& idempotency_key(std::string_view key);
    /// Sets the moment by which the request must have ended.
    request_builder& deadline(time_point when);
    /// Sets the configuration version that the request runs under.
    request_builder& configuration_version(std::uint64_t version);
    /// Returns the finished request.
    [[nodiscard]] request build() const;

private:
    request value_;
};

} // namespace pistachiopost
