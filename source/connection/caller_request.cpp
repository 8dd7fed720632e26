#include "connection/caller_request.hpp"

#include "connection/completion_body.hpp"
#include "version/configuration_document.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace pistachiopost {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_idempotency_key_bytes = 256;
// Subtracted from the caller's deadline so that the response arrives before it.
constexpr milliseconds response_margin{50};

[[noreturn]] void refuse(refusal_reason reason, std::string detail)
{
    throw refused_request(
        {reason, run_state::not_run, std::move(detail), milliseconds{0}});
}

bool is_printable_ascii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return c >= 0x20 && c < 0x7F; });
}

} // namespace

caller_request_decoder::caller_request_decoder(const entry_state& state,
                                               const httplib::Request& http,
                                               std::string body, time_point now)
    : state_(state), http_(http), body_(std::move(body)), now_(now),
      version_(state.configurations.current())
{
    if (!version_)
    {
        refuse(refusal_reason::store_unavailable,
               "this entry has no configuration yet; use another or retry later");
    }
    const auto header = http.get_header_value("Authorization");
    if (header.starts_with(bearer_prefix))
    {
        customer_ = version_->customer_by_key(
            key_digest(std::string_view(header).substr(bearer_prefix.size())));
    }
    if (customer_ == nullptr)
    {
        refuse(refusal_reason::unauthorized,
               "send the header Authorization: Bearer KEY with a key of a customer");
    }
}

decoded_completion caller_request_decoder::decode_completion(std::string_view id)
{
    decoded_completion result;
    result.chat = http_.path == "/v1/chat/completions";
    completion_body body;
    try
    {
        body = parse_completion_body(body_, result.chat);
    }
    catch (const body_error& it)
    {
        refuse(refusal_reason::bad_request, it.what());
    }
    result.stream = body.stream;
    const auto* model = version_->find_model(body.model);
    if (model == nullptr)
    {
        refuse(
            refusal_reason::not_found,
            fmt::format("there is no model {}; GET /v1/models lists them", body.model));
    }
    const auto tokens = estimate_tokens(body.prompt_bytes);
    if (tokens > model->max_prompt_tokens)
    {
        refuse(refusal_reason::too_large,
               fmt::format("the prompt has about {} tokens, {} takes {}", tokens,
                           model->name, model->max_prompt_tokens));
    }
    if (body.max_tokens > model->max_output_tokens)
    {
        refuse(refusal_reason::bad_request,
               fmt::format("max_tokens is {}, {} allows {}", body.max_tokens, model->name,
                           model->max_output_tokens));
    }
    result.value = request_builder(id)
                       .customer(customer_->name, customer_->weight)
                       .completion(model->name, http_.path, take_body(), tokens,
                                   body.prefix, body.max_tokens)
                       .repeatable(!marked_not_repeatable())
                       .idempotency_key(idempotency_key())
                       .deadline(deadline())
                       .configuration_version(version_->version())
                       .build();
    return result;
}

request caller_request_decoder::decode_call(std::string_view id)
{
    constexpr std::string_view prefix = "/services/";
    const auto rest = std::string_view(http_.target).substr(prefix.size());
    const auto name = rest.substr(0, rest.find_first_of("/?"));
    const auto* service = version_->find_service(name);
    if (service == nullptr)
    {
        refuse(refusal_reason::not_found, fmt::format("there is no service {}", name));
    }
    const auto path = rest.substr(name.size());
    const bool is_read = http_.method == "GET" || http_.method == "HEAD";
    const bool repeatable = is_read || (service->repeatable && !marked_not_repeatable());
    auto key = idempotency_key();
    if (!repeatable && key.empty())
    {
        refuse(refusal_reason::key_required,
               fmt::format("calls of {} may run at most once: send a header "
                           "Idempotency-Key that names this call",
                           name));
    }
    const auto type = http_.get_header_value("Content-Type");
    if (!is_printable_ascii(type))
    {
        refuse(refusal_reason::bad_request, "the header Content-Type is malformed");
    }
    return request_builder(id)
        .customer(customer_->name, customer_->weight)
        .service(name, http_.method, path.empty() ? "/" : path, take_body())
        .content_type(type.empty() ? "application/octet-stream" : type)
        .repeatable(repeatable)
        .idempotency_key(key)
        .deadline(deadline())
        .configuration_version(version_->version())
        .build();
}

std::string caller_request_decoder::models_json() const
{
    auto data = nlohmann::json::array();
    for (const auto& [name, model] : version_->models())
    {
        data.push_back({{"id", name}, {"object", "model"}});
    }
    return nlohmann::json{{"object", "list"}, {"data", std::move(data)}}.dump();
}

time_point caller_request_decoder::deadline() const
{
    const auto text = http_.get_header_value("X-Deadline-Ms");
    if (text.empty())
    {
        return now_ + state_.settings.default_deadline - response_margin;
    }
    milliseconds::rep count = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
    const auto max_ms = state_.settings.max_deadline.count();
    if (ec != std::errc{} || end != text.data() + text.size() || count < 1 ||
        count > max_ms)
    {
        refuse(refusal_reason::bad_request,
               fmt::format("X-Deadline-Ms must be a whole number from 1 to {}", max_ms));
    }
    return now_ + milliseconds{count} -
           std::min(response_margin, milliseconds{count / 20});
}

bool caller_request_decoder::marked_not_repeatable() const
{
    const auto text = http_.get_header_value("X-Not-Repeatable");
    if (!text.empty() && text != "true" && text != "false")
    {
        refuse(refusal_reason::bad_request, "X-Not-Repeatable must be true or false");
    }
    return text == "true";
}

std::string caller_request_decoder::idempotency_key() const
{
    auto key = http_.get_header_value("Idempotency-Key");
    if (key.size() > max_idempotency_key_bytes || !is_printable_ascii(key))
    {
        refuse(refusal_reason::bad_request,
               fmt::format("Idempotency-Key must be at most {} printable characters",
                           max_idempotency_key_bytes));
    }
    return key;
}

std::shared_ptr<const std::string> caller_request_decoder::take_body()
{
    return std::make_shared<const std::string>(std::move(body_));
}

} // namespace pistachiopost
