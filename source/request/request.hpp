/// \file
/// A caller's request, independent of its encoding.
#pragma once

#include "request/length_class.hpp"
#include "request/time_types.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace pistachiopost {

/// Kind of work that a request asks a backend server for.
enum class work_kind
{
    completion, ///< Completion of a prompt by a model engine.
    service,    ///< A call of a plain service.
    reservation ///< Memory reserved for a prompt that runs at another engine.
};

/// A caller's request. All attempts share one copy of the body.
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
    bool repeatable = true;        ///< False if it must not be executed twice.
    std::string idempotency_key;   ///< Empty if the caller gave none.
    time_point deadline;
    std::uint64_t configuration_version = 0;
};

/// Builds a request and computes its derived fields.
class request_builder
{
public:
    explicit request_builder(std::string_view id);
    request_builder& customer(std::string_view name, std::uint32_t weight);
    /// Sets a completion by `model` with the given body. `prefix` is the start of the
    /// prompt.
    request_builder& completion(std::string_view model, std::string_view path,
                                std::shared_ptr<const std::string> body,
                                std::uint64_t prompt_tokens, std::string_view prefix,
                                std::uint32_t output_tokens);
    /// Sets a call of the plain service `name`.
    request_builder& service(std::string_view name, std::string_view method,
                             std::string_view path,
                             std::shared_ptr<const std::string> body);
    /// Sets the media type of the body.
    request_builder& content_type(std::string_view type);
    /// Sets whether the request may be executed more than once.
    request_builder& repeatable(bool yes);
    request_builder& idempotency_key(std::string_view key);
    /// Sets the time by which the request must have finished.
    request_builder& deadline(time_point when);
    /// Sets the configuration version that the request runs under.
    request_builder& configuration_version(std::uint64_t version);
    /// Returns the request with fingerprint and an empty body if none was set.
    [[nodiscard]] request build() const;

private:
    request value_;
};

} // namespace pistachiopost
