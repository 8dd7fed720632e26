#include "connection/answer_receivers.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <random>
#include <utility>

namespace pistachiopost {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;

json to_json_string(std::string_view text)
{
    return std::string(text);
}

std::string serialize(const json& it)
{
    return it.dump(-1, ' ', false, json::error_handler_t::replace);
}

json completion_object(const stream_labels& labels, std::string_view kind, json choice)
{
    return {{"id", labels.id},
            {"object", kind},
            {"model", labels.model},
            {"choices", json::array({std::move(choice)})}};
}

json stream_choice(const stream_labels& labels, std::string_view text, const json& finish)
{
    json choice{{"index", 0}, {"finish_reason", finish}};
    if (labels.chat)
    {
        choice["delta"] = {{"content", to_json_string(text)}};
    }
    else
    {
        choice["text"] = to_json_string(text);
    }
    return choice;
}

std::string_view stream_object_type(const stream_labels& labels)
{
    return labels.chat ? "chat.completion.chunk" : "text_completion";
}

} // namespace

wait_result receiver_base::wait(event_queue& events, time_point until)
{
    while (true)
    {
        if (auto event = events.try_pop())
        {
            return {std::move(event), false};
        }
        const auto reason = connection_.wait(events.fd(), until, now());
        if (reason == wake_reason::peer_closed)
        {
            return {std::nullopt, true};
        }
        if (reason == wake_reason::timeout && now() >= until)
        {
            return {};
        }
    }
}

bool receiver_base::pause(time_point until)
{
    constexpr int no_descriptor = -1;
    return connection_.wait(no_descriptor, until, now()) == wake_reason::peer_closed;
}

double receiver_base::jitter()
{
    thread_local std::minstd_rand random(std::random_device{}());
    return std::uniform_real_distribution<double>(0, 1)(random);
}

void receiver_base::record_first_chunk()
{
    if (!first_chunk_at_)
    {
        first_chunk_at_ = now();
    }
}

stream_receiver::stream_receiver(http_connection& connection, stream_labels labels)
    : receiver_base(connection), labels_(std::move(labels))
{
}

bool stream_receiver::deliver(const answer_chunk& chunk)
{
    record_first_chunk();
    return send_event(
        serialize(completion_object(labels_, stream_object_type(labels_),
                                    stream_choice(labels_, chunk.bytes, nullptr))));
}

void stream_receiver::finish(std::uint64_t total)
{
    auto last = completion_object(labels_, stream_object_type(labels_),
                                  stream_choice(labels_, "", "stop"));
    last["usage"] = {{"completion_tokens", total}};
    if (!send_event(serialize(last)) || !send_event("[DONE]") || !connection_.finish())
    {
        connection_.abort();
    }
}

void stream_receiver::fail(std::string_view error_json)
{
    send_event(error_json);
    connection_.abort();
}

bool stream_receiver::send_event(std::string_view json)
{
    if (!connection_.begun() && !connection_.begin(status_ok, "text/event-stream"))
    {
        return false;
    }
    return connection_.write_chunk(fmt::format("data: {}\n\n", json));
}

bool buffered_receiver::deliver(const answer_chunk& chunk)
{
    record_first_chunk();
    collected_ += chunk.bytes;
    return true;
}

std::string completion_json(const stream_labels& labels, std::string_view text,
                            std::uint64_t prompt_tokens, std::uint64_t output_tokens)
{
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (labels.chat)
    {
        choice["message"] = {{"role", "assistant"}, {"content", to_json_string(text)}};
    }
    else
    {
        choice["text"] = to_json_string(text);
    }
    auto document = completion_object(
        labels, labels.chat ? "chat.completion" : "text_completion", std::move(choice));
    document["usage"] = {{"prompt_tokens", prompt_tokens},
                         {"completion_tokens", output_tokens},
                         {"total_tokens", prompt_tokens + output_tokens}};
    return serialize(document);
}

} // namespace pistachiopost
