#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "process/task.hpp"
#include "standins/engine.hpp"
#include "standins/model_answer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiopost::standins {

namespace {

using nlohmann::json;

/// Returns the prompt text of a completion or chat completion request.
std::string prompt_of(const json& body)
{
    if (body.contains("prompt"))
    {
        return body["prompt"].get<std::string>();
    }
    std::string text;
    for (const auto& it : body.at("messages"))
    {
        text += it.at("content").get<std::string>();
    }
    return text;
}

std::string event(const engine_job& job, bool chat, std::string_view text)
{
    json choice{{"index", 0}};
    if (chat)
    {
        choice["delta"] = {{"content", text}};
    }
    else
    {
        choice["text"] = text;
    }
    const auto id = job.wrong_id ? job.id + "-of-another" : job.id;
    return "data: " + json{{"id", id}, {"choices", json::array({choice})}}.dump() +
           "\n\n";
}

/// Streams the tokens of a job. The job continues if the connection is lost.
void stream_job(engine& it, const engine_job& job, bool chat)
{
    auto& connection = http_connection::current();
    auto sent = job.first_offset;
    if (!connection.begin(200, "text/event-stream"))
    {
        return;
    }
    while (sent < job.output_tokens)
    {
        const auto produced = it.wait_for_more(job, sent);
        if (produced == sent)
        {
            connection.abort();
            return;
        }
        std::string pieces;
        for (; sent < produced; ++sent)
        {
            pieces += event(job, chat, answer_token(job.seed, sent));
        }
        if (!connection.write_chunk(pieces))
        {
            return;
        }
    }
    if (connection.write_chunk("data: [DONE]\n\n") && connection.finish())
    {
        it.cancel(job.id);
    }
}

/// Posts the reservation id to `path` on every member of a group. Returns the sum of
/// the token counts in the responses.
std::uint64_t post_to_group(std::string_view members, std::string_view path)
{
    std::uint64_t tokens = 0;
    while (!members.empty())
    {
        const auto member = members.substr(0, members.find(','));
        members.remove_prefix(std::min(members.size(), member.size() + 1));
        const auto slash = member.find('/');
        const auto colon = member.find(':');
        const std::string port(member.substr(colon + 1, slash - colon - 1));
        const endpoint where{std::string(member.substr(0, colon)),
                             static_cast<std::uint16_t>(std::atoi(port.c_str()))};
        http_client client(where, milliseconds{60'000});
        const auto answer =
            client.post(path, json{{"id", member.substr(slash + 1)}}.dump());
        tokens += json::parse(answer.body).at("tokens").get<std::uint64_t>();
    }
    return tokens;
}

void serve_completion(engine& it, const httplib::Request& req, httplib::Response& res)
{
    const auto body = json::parse(req.body);
    const auto prompt = prompt_of(body);
    engine_job job;
    job.id = req.get_header_value("X-Request-Id");
    job.owner = req.get_header_value("X-Owner");
    job.priority = std::atoi(req.get_header_value("X-Priority").c_str());
    job.seed = prompt_seed(prompt);
    job.prompt_tokens = (prompt.size() + 4) / 5;
    job.output_tokens = body.value("max_tokens", 16U);
    job.first_offset =
        std::strtoull(req.get_header_value("X-Resume-Offset").c_str(), nullptr, 10);
    job.next_offset = job.first_offset;
    const auto group = req.get_header_value("X-Group");
    job.held_elsewhere = post_to_group(group, "/v1/kv/prefill");
    job.kv_imported = group.empty();
    job.poisonous = prompt.find(poison_mark) != std::string::npos;
    if (const auto added = it.add(std::move(job), prompt))
    {
        post_to_group(group, "/v1/kv/export");
        it.mark_kv_imported(*added);
        stream_job(it, *added, !body.contains("prompt"));
        return;
    }
    res.status = 413;
}

} // namespace

int run_engine(std::string_view address, std::uint16_t port,
               const engine_options& options)
{
    engine it(options);
    http_limits limits;
    limits.max_connections = 256;
    limits.max_body_bytes = 64U << 20U;
    http_server server(limits, "{}");
    const auto complete = [&it](const auto& req, auto& res) {
        serve_completion(it, req, res);
    };
    server.Post("/v1/completions", complete);
    server.Post("/v1/chat/completions", complete);
    server.Get("/v1/state", [&it](const auto&, auto& res) {
        res.set_content(it.state_json(), "application/json");
    });
    server.Delete("/v1/streams/(.+)", [&it](const auto& req, auto& res) {
        it.cancel(req.matches[1].str());
        res.set_content("{}", "application/json");
    });
    server.Post("/v1/reservations", [&it](const auto& req, auto& res) {
        const auto order = json::parse(req.body);
        const bool held =
            it.reserve(order.at("id"), order.at("owner"), order.at("tokens"));
        res.status = held ? 200 : 507;
        res.set_content("{}", "application/json");
    });
    const auto id_of = [](const httplib::Request& req) {
        return json::parse(req.body).at("id").get<std::string>();
    };
    server.Post("/v1/kv/prefill", [&it, id_of](const auto& req, auto& res) {
        const auto tokens = it.start_prefill(id_of(req));
        res.set_content(json{{"tokens", tokens}}.dump(), "application/json");
    });
    server.Post("/v1/kv/export", [&it, id_of](const auto& req, auto& res) {
        const auto tokens = it.wait_prefilled(id_of(req));
        res.set_content(json{{"tokens", tokens}}.dump(), "application/json");
    });
    server.Post("/faults", [&it](const auto& req, auto& res) {
        it.set_faults(req.body);
        res.set_content("{}", "application/json");
    });
    server.bind({std::string(address), port});
    task::start_detached([&it] { it.run_steps(); }, task_stack_bytes);
    server.serve();
    return 0;
}

} // namespace pistachiopost::standins
