#include "standins/caller.hpp"

#include "connection/sse_reader.hpp"
#include "process/task.hpp"
#include "standins/model_answer.hpp"

#include <fmt/format.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <mutex>
#include <random>
#include <thread>

namespace pistachiopost::standins {

namespace {

using nlohmann::json;
using clock = std::chrono::steady_clock;

std::string body_of(const call& it)
{
    if (it.model.empty())
    {
        return it.prompt;
    }
    // The prompt contains no characters that need escaping; formatting the body directly
    // avoids a copy of the prompt.
    const auto prompt =
        it.chat
            ? fmt::format(R"("messages":[{{"role":"user","content":"{}"}}])", it.prompt)
            : fmt::format(R"("prompt":"{}")", it.prompt);
    return fmt::format(R"({{"model":"{}","max_tokens":{},"stream":{},{}}})", it.model,
                       it.output_tokens, it.stream, prompt);
}

std::string path_of(const call& it)
{
    if (it.model.empty())
    {
        return "/services/" + it.service_path;
    }
    return it.chat ? "/v1/chat/completions" : "/v1/completions";
}

void read_error(outcome& result, const json& document)
{
    const auto error = document.value("error", json::object());
    result.type = error.value("type", "");
    result.execution = error.value("execution", "");
    result.detail = error.value("message", "");
}

/// Parses and checks the response to one call.
class answer_reader
{
public:
    answer_reader(const call& it, clock::time_point start) : call_(it), start_(start) {}

    bool receive(std::string_view bytes)
    {
        if (!call_.stream || call_.model.empty())
        {
            text_ += bytes;
            return true;
        }
        raw_ += raw_.size() < 4'096 ? bytes : std::string_view{};
        reader_.feed(bytes);
        while (auto data = reader_.next())
        {
            take_event(*data);
        }
        return call_.disconnect_after == 0 || ++pieces_ < call_.disconnect_after;
    }

    void finish(outcome& result)
    {
        result.total_ms = milliseconds_since(start_);
        result.first_token_ms = first_ms_ > 0 ? first_ms_ : result.total_ms;
        result.gaps_ms = std::move(gaps_);
        if (!error_.is_null())
        {
            read_error(result, error_);
            return;
        }
        if (result.status == 0)
        {
            return;
        }
        if (result.status != 200)
        {
            read_error(result, parse(text_.empty() ? raw_ : text_));
            return;
        }
        if (call_.model.empty())
        {
            result.complete = parse(text_).value("recorded", "") == call_.prompt;
            result.detail = text_;
            return;
        }
        result.complete = (done_ || !call_.stream) &&
                          answer() == expected_answer(call_.prompt, call_.output_tokens);
    }

private:
    static json parse(const std::string& text)
    {
        auto document = json::parse(text, nullptr, false);
        return document.is_object() ? document : json::object();
    }

    void take_event(const std::string& data)
    {
        if (data == "[DONE]")
        {
            done_ = true;
            return;
        }
        const auto event = parse(data);
        if (event.contains("error"))
        {
            error_ = event;
            return;
        }
        const auto& choice = event.at("choices").at(0);
        const auto piece = call_.chat ? choice.at("delta").value("content", "")
                                      : choice.value("text", "");
        const auto now = milliseconds_since(start_);
        if (first_ms_ == 0)
        {
            first_ms_ = now;
        }
        else if (!piece.empty())
        {
            gaps_.push_back(now - last_ms_);
        }
        last_ms_ = now;
        text_ += piece;
    }

    std::string answer() const
    {
        if (call_.stream)
        {
            return text_;
        }
        const auto document = parse(text_);
        const auto& choice = document.at("choices").at(0);
        return call_.chat ? choice.at("message").value("content", "")
                          : choice.value("text", "");
    }

    const call& call_;
    clock::time_point start_;
    sse_reader reader_;
    std::string text_;
    std::string raw_;
    json error_;
    std::vector<double> gaps_;
    double first_ms_ = 0;
    double last_ms_ = 0;
    std::uint32_t pieces_ = 0;
    bool done_ = false;
};

} // namespace

double milliseconds_since(clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(clock::now() - start).count();
}

outcome make_call_from(const call& it, std::chrono::steady_clock::time_point start)
{
    outcome result;
    httplib::Client client(it.entry.address, it.entry.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(5);
    client.set_read_timeout(std::chrono::milliseconds(it.deadline_ms + 5'000));
    answer_reader reader(it, start);
    httplib::Request http;
    http.method = "POST";
    http.path = path_of(it);
    http.headers = {{"Authorization", "Bearer " + it.key},
                    {"Content-Type", "application/json"},
                    {"X-Deadline-Ms", std::to_string(it.deadline_ms)}};
    if (!it.idempotency_key.empty())
    {
        http.headers.emplace("Idempotency-Key", it.idempotency_key);
    }
    http.body = body_of(it);
    http.content_receiver = [&reader](const char* data, std::size_t n, std::uint64_t,
                                      std::uint64_t) {
        return reader.receive({data, n});
    };
    const auto answer = client.send(http);
    if (answer)
    {
        result.status = answer->status;
    }
    else
    {
        result.detail = httplib::to_string(answer.error());
    }
    reader.finish(result);
    return result;
}

std::string_view outcome::kind() const
{
    if (complete)
    {
        return "answered";
    }
    return execution == "not_run" ? "refused" : "failed";
}

outcome make_call(const call& it)
{
    return make_call_from(it, clock::now());
}

std::string make_prompt(std::uint64_t tokens, std::uint64_t seed)
{
    std::string text(tokens * bytes_per_token, ' ');
    std::mt19937_64 random(seed);
    for (std::size_t i = 0; i < text.size(); i += bytes_per_token)
    {
        auto bits = random();
        for (std::size_t k = 0; k + 1 < bytes_per_token; ++k, bits >>= 5U)
        {
            text[i + k] = static_cast<char>('a' + (bits & 15U));
        }
    }
    return text;
}

} // namespace pistachiopost::standins
