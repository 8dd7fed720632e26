#include "request/request.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pistachiopost {

namespace {

std::uint64_t hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

request_builder::request_builder(std::string_view id)
{
    value_.id = id;
}

request_builder& request_builder::customer(std::string_view name, std::uint32_t weight)
{
    value_.customer = name;
    value_.weight = std::max(weight, 1U);
    return *this;
}

request_builder& request_builder::completion(std::string_view model,
                                             std::string_view path,
                                             std::shared_ptr<const std::string> body,
                                             std::uint64_t prompt_tokens,
                                             std::string_view prefix,
                                             std::uint32_t output_tokens)
{
    value_.kind = work_kind::completion;
    value_.target = model;
    value_.method = "POST";
    value_.path = path;
    value_.content_type = "application/json";
    value_.body = std::move(body);
    value_.prompt_tokens = prompt_tokens;
    value_.output_tokens = output_tokens;
    value_.prefix_hash = hash(prefix, 0);
    return *this;
}

request_builder& request_builder::service(std::string_view name, std::string_view method,
                                          std::string_view path,
                                          std::shared_ptr<const std::string> body)
{
    value_.kind = work_kind::service;
    value_.target = name;
    value_.method = method;
    value_.path = path;
    value_.body = std::move(body);
    value_.prompt_tokens = 1;
    return *this;
}

request_builder& request_builder::content_type(std::string_view type)
{
    value_.content_type = type;
    return *this;
}

request_builder& request_builder::repeatable(bool yes)
{
    value_.repeatable = yes;
    return *this;
}

request_builder& request_builder::idempotency_key(std::string_view key)
{
    value_.idempotency_key = key;
    return *this;
}

request_builder& request_builder::deadline(time_point when)
{
    value_.deadline = when;
    return *this;
}

request_builder& request_builder::configuration_version(std::uint64_t version)
{
    value_.configuration_version = version;
    return *this;
}

request request_builder::build() const
{
    request it = value_;
    if (!it.body)
    {
        it.body = std::make_shared<const std::string>();
    }
    const auto seed = hash(it.target, hash(it.method, hash(it.path, 0)));
    it.fingerprint = hash(*it.body, seed);
    return it;
}

} // namespace pistachiopost
