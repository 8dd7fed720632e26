#include "connection/completion_body.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <limits>

namespace pistachiopost {

namespace {

using nlohmann::json;

// The prefix is the input of the hash for cache affinity.
constexpr std::size_t max_prefix_bytes = 2'048;

/// SAX handler that stores the required fields and skips all others.
class body_sax_handler : public nlohmann::json_sax<json>
{
public:
    body_sax_handler(completion_body& body, bool chat) : body_(body), chat_(chat) {}

    bool null() override { return true; }
    bool boolean(bool value) override
    {
        if (at_top_level("stream"))
        {
            body_.stream = value;
        }
        return true;
    }
    bool number_integer(number_integer_t value) override
    {
        if (at_top_level("max_tokens"))
        {
            throw body_error(fmt::format("max_tokens is {}, send 1 or more", value));
        }
        return true;
    }
    bool number_unsigned(number_unsigned_t value) override
    {
        if (at_top_level("max_tokens"))
        {
            set_max_tokens(value);
        }
        return true;
    }
    bool number_float(number_float_t /*value*/, const string_t& text) override
    {
        if (at_top_level("max_tokens"))
        {
            throw body_error(fmt::format("max_tokens is {}, send a whole number", text));
        }
        return true;
    }
    bool string(string_t& value) override
    {
        if (at_top_level("model"))
        {
            body_.model = value;
        }
        else if (is_prompt())
        {
            append_prompt(value);
        }
        else if (at_top_level("max_tokens") || at_top_level("stream"))
        {
            throw body_error(key_ + " must not be a text");
        }
        return true;
    }
    bool binary(binary_t& /*value*/) override { return true; }
    bool start_object(std::size_t /*elements*/) override { return enter(); }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t /*elements*/) override { return enter(); }
    bool end_array() override { return leave(); }
    bool key(string_t& value) override
    {
        key_ = value;
        if (depth_ == 1)
        {
            top_key_ = value;
        }
        return true;
    }
    bool parse_error(std::size_t position, const std::string& /*token*/,
                     const json::exception& /*problem*/) override
    {
        throw body_error(fmt::format("the body is not JSON: fault at byte {}", position));
    }

    [[nodiscard]] bool has_prompt() const { return has_prompt_; }

private:
    [[nodiscard]] bool at_top_level(std::string_view name) const
    {
        return depth_ == 1 && key_ == name;
    }

    [[nodiscard]] bool is_prompt() const
    {
        if (chat_)
        {
            return top_key_ == "messages" && (key_ == "content" || key_ == "text");
        }
        return top_key_ == "prompt";
    }

    bool enter()
    {
        if (++depth_ == 1)
        {
            key_.clear();
        }
        return true;
    }

    bool leave()
    {
        --depth_;
        return true;
    }

    void set_max_tokens(std::uint64_t value)
    {
        if (value == 0 || value > std::numeric_limits<std::uint32_t>::max())
        {
            throw body_error(fmt::format("max_tokens is {}, send 1 or more", value));
        }
        body_.max_tokens = static_cast<std::uint32_t>(value);
    }

    void append_prompt(std::string_view text)
    {
        has_prompt_ = true;
        body_.prompt_bytes += text.size();
        const auto remaining = max_prefix_bytes - body_.prefix.size();
        body_.prefix += text.substr(0, remaining);
    }

    completion_body& body_;
    bool chat_;
    int depth_ = 0;
    std::string key_;
    std::string top_key_;
    bool has_prompt_ = false;
};

} // namespace

completion_body parse_completion_body(std::string_view text, bool chat)
{
    completion_body body;
    body_sax_handler handler(body, chat);
    json::sax_parse(text.begin(), text.end(), &handler);
    if (text.empty() || text.find_first_not_of(" \t\r\n") == std::string_view::npos ||
        text[text.find_first_not_of(" \t\r\n")] != '{')
    {
        throw body_error("the body must be a JSON object");
    }
    if (body.model.empty())
    {
        throw body_error("the body lacks the text model");
    }
    if (!handler.has_prompt())
    {
        throw body_error(chat ? "the body lacks messages with content"
                              : "the body lacks the text prompt");
    }
    return body;
}

} // namespace pistachiopost
