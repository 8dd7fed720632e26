/// \file
/// HTTP interface of an entry for callers: decodes requests and encodes responses.
/// All decisions are made by the service it calls.
#pragma once

#include "connection/answer_receivers.hpp"
#include "connection/caller_request.hpp"
#include "connection/http_server.hpp"
#include "connection/refusal_response.hpp"
#include "process/entry_state.hpp"
#include "process/logging.hpp"
#include "request/serve_attempts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace pistachiopost {

/// A service that handles decoded requests.
template <typename Service>
concept request_service = requires(Service& it, const request& req,
                                   stream_receiver& stream, buffered_receiver& buffered)
{
    {
        it.serve(req, stream)
        } -> std::same_as<serve_result>;
    {
        it.serve(req, buffered)
        } -> std::same_as<serve_result>;
};

/// Registers the handlers of the callers' interface on an HTTP server.
template <request_service Service>
class caller_api
{
public:
    caller_api(entry_state& state, Service& service, http_server& server)
        : state_(state), service_(service)
    {
        const auto complete =
            with_body([this](const auto& req, auto& res, std::string body) {
                serve_completion(req, res, std::move(body));
            });
        server.Post("/v1/completions", complete);
        server.Post("/v1/chat/completions", complete);
        server.Get("/v1/models",
                   [this](const auto& req, auto& res) { list_models(req, res); });
        server.Get("/healthz",
                   [](const auto&, auto& res) { res.set_content("ok\n", "text/plain"); });
        server.Get("/readyz", [this](const auto&, auto& res) { send_readiness(res); });
        server.Get("/metrics", [this](const auto&, auto& res) {
            res.set_content(state_.metrics.text(state_.configurations.version()),
                            "text/plain; version=0.0.4");
        });
        const auto call = with_body([this](const auto& req, auto& res, std::string body) {
            serve_call(req, res, std::move(body));
        });
        const std::string services = "/services/.*";
        server.Get(services,
                   [this](const auto& req, auto& res) { serve_call(req, res, {}); });
        server.Post(services, call);
        server.Put(services, call);
        server.Patch(services, call);
        server.Delete(services, call);
        server.set_error_handler([](const auto&, auto& res) { set_error_body(res); });
    }

private:
    /// Returns a handler that reads the raw body regardless of its media type.
    /// Without a content reader, httplib parses form bodies and limits them to 8 kB.
    template <typename Handler>
    auto with_body(Handler handler) const
    {
        const auto limit = state_.settings.max_body_bytes;
        return [handler, limit](const httplib::Request& http, httplib::Response& res,
                                const httplib::ContentReader& read) {
            if (http.is_multipart_form_data())
            {
                send_refusal(res,
                             {refusal_reason::bad_request, run_state::not_run,
                              "multipart bodies are not passed on", milliseconds{0}});
                return;
            }
            std::string body;
            bool over_limit = false; // httplib checks announced lengths only
            const bool complete = read([&](const char* data, std::size_t n) {
                over_limit = body.size() + n > limit;
                if (!over_limit)
                {
                    reserve_body(body, body.size() + n, limit);
                    body.append(data, n);
                }
                return !over_limit;
            });
            if (complete)
            {
                handler(http, res, std::move(body));
            }
            else if (over_limit)
            {
                constexpr int content_too_large = 413;
                res.status = content_too_large;
                http_connection::current().abort(); // the rest of the body is not read
            }
        };
    }

    /// Makes room for a large body at once, so that it is not copied while it grows. Its
    /// memory is not touched before bytes arrive.
    static void reserve_body(std::string& body, std::uint64_t size, std::uint64_t limit)
    {
        constexpr std::uint64_t small_body_bytes = 32'768;
        constexpr std::uint64_t max_reserved_bytes = 16U << 20U;
        if (size > small_body_bytes && size > body.capacity())
        {
            body.reserve(std::max(size, std::min(limit, max_reserved_bytes)));
        }
    }

    void serve_completion(const httplib::Request& http, httplib::Response& res,
                          std::string body)
    {
        const auto received = steady::now();
        try
        {
            caller_request_decoder decoder(state_, http, std::move(body), received);
            const auto decoded = decoder.decode_completion(state_.ids.next());
            auto& connection = http_connection::current();
            const stream_labels labels{decoded.value.id, decoded.value.target,
                                       decoded.chat};
            if (decoded.stream)
            {
                stream_receiver receiver(connection, labels);
                const auto result = serve(decoded.value, receiver, received);
                finish_stream(result, receiver, connection, res);
                return;
            }
            buffered_receiver receiver(connection);
            const auto result = serve(decoded.value, receiver, received);
            if (!result.end)
            {
                send_refusal(res, result.cause);
                return;
            }
            res.set_content(completion_json(labels, receiver.collected(),
                                            decoded.value.prompt_tokens,
                                            result.end->total),
                            "application/json");
        }
        catch (const refused_request& it)
        {
            state_.metrics.refused(it.why().reason);
            send_refusal(res, it.why());
        }
    }

    void serve_call(const httplib::Request& http, httplib::Response& res,
                    std::string body)
    {
        const auto received = steady::now();
        try
        {
            caller_request_decoder decoder(state_, http, std::move(body), received);
            const auto req = decoder.decode_call(state_.ids.next());
            buffered_receiver receiver(http_connection::current());
            const auto result = serve(req, receiver, received);
            if (!result.end)
            {
                send_refusal(res, result.cause);
                return;
            }
            res.status = result.end->status;
            res.set_content(receiver.collected(), result.end->content_type);
        }
        catch (const refused_request& it)
        {
            state_.metrics.refused(it.why().reason);
            send_refusal(res, it.why());
        }
    }

    template <answer_receiver Receiver>
    serve_result serve(const request& req, Receiver& receiver, time_point received)
    {
        auto result = service_.serve(req, receiver);
        const auto ended = steady::now();
        if (result.attempts > 1)
        {
            state_.metrics.retried(result.attempts - 1);
        }
        if (result.end)
        {
            const auto first = receiver.first_chunk_at().value_or(ended);
            state_.metrics.answered(classify(req.prompt_tokens), first - received,
                                    ended - received);
            log(log_level::debug, "request answered", request_log_fields(req));
            return result;
        }
        state_.metrics.refused(result.cause.reason);
        log(log_level::info,
            fmt::format("request refused: {} ({}): {}", to_string(result.cause.reason),
                        to_string(result.cause.state), result.cause.detail),
            request_log_fields(req));
        return result;
    }

    static log_fields request_log_fields(const request& req)
    {
        return {.request = req.id,
                .customer = req.customer,
                .backend = {},
                .version = req.configuration_version};
    }

    static void finish_stream(const serve_result& result, stream_receiver& receiver,
                              http_connection& connection, httplib::Response& res)
    {
        if (result.end)
        {
            receiver.finish(result.end->total);
        }
        else if (connection.begun())
        {
            receiver.fail(refusal_json(result.cause));
        }
        else
        {
            send_refusal(res, result.cause);
        }
    }

    static void send_refusal(httplib::Response& res, const refusal& why)
    {
        res.status = http_status(why.reason);
        if (why.retry_after.count() > 0)
        {
            const auto retry_after_s =
                std::chrono::ceil<seconds>(why.retry_after).count();
            res.set_header("Retry-After", std::to_string(retry_after_s));
        }
        res.set_content(refusal_json(why), "application/json");
    }

    void list_models(const httplib::Request& http, httplib::Response& res)
    {
        try
        {
            const caller_request_decoder decoder(state_, http, {}, steady::now());
            res.set_content(decoder.models_json(), "application/json");
        }
        catch (const refused_request& it)
        {
            send_refusal(res, it.why());
        }
    }

    void send_readiness(httplib::Response& res)
    {
        const auto problem = state_.unready_reason();
        res.status = problem.empty() ? 200 : 503;
        res.set_content(problem.empty()
                            ? fmt::format("ready, {} agents\n", state_.directory.linked())
                            : problem + "\n",
                        "text/plain");
    }

    /// Replaces the error responses that httplib generates with refusals in JSON.
    static void set_error_body(httplib::Response& res)
    {
        if (!res.body.empty())
        {
            return;
        }
        refusal why{refusal_reason::bad_request, run_state::not_run,
                    "the request is malformed", milliseconds{0}};
        if (res.status == 404)
        {
            why = {
                refusal_reason::not_found, run_state::not_run,
                "unknown path or method; see the manual page on the callers' interface",
                milliseconds{0}};
        }
        else if (res.status == 413)
        {
            why = {refusal_reason::too_large, run_state::not_run,
                   "the body is over this entry's limit", milliseconds{0}};
        }
        else if (res.status == 414)
        {
            why.detail = "the path is over 1,024 bytes";
        }
        else if (res.status >= 500)
        {
            why = {refusal_reason::internal, run_state::unknown, "internal error",
                   milliseconds{0}};
        }
        res.set_content(refusal_json(why), "application/json");
    }

    entry_state& state_;
    Service& service_;
};

} // namespace pistachiopost
