#include "connection/untrusted_json.hpp"

#include "connection/codec_error.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

namespace pistachiopost {

namespace {

using nlohmann::json;

/// Builds a document from the events of the library's parsers.
class document_builder : public nlohmann::json_sax<json>
{
public:
    bool null() override { return add(nullptr); }
    bool boolean(bool it) override { return add(it); }
    bool number_integer(number_integer_t it) override { return add(it); }
    bool number_unsigned(number_unsigned_t it) override { return add(it); }
    bool number_float(number_float_t it, const string_t& /*text*/) override
    {
        return add(it);
    }
    bool string(string_t& it) override { return add(std::move(it)); }
    bool binary(binary_t& it) override { return add(json::binary(std::move(it))); }
    bool start_object(std::size_t /*size*/) override { return open(json::object()); }
    bool start_array(std::size_t /*size*/) override { return open(json::array()); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }
    bool key(string_t& it) override
    {
        key_ = std::move(it);
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& ex) override
    {
        fault_ = ex.what();
        return false;
    }

    /// Returns the document after the parser has returned `complete`.
    json take(bool complete)
    {
        if (!complete)
        {
            throw codec_error(fault_);
        }
        return std::move(root_);
    }

private:
    bool add(json it)
    {
        insert(std::move(it));
        return true;
    }

    bool open(json it)
    {
        if (open_.size() == max_json_nesting)
        {
            fault_ = fmt::format("nested over {} levels", max_json_nesting);
            return false;
        }
        open_.push_back(&insert(std::move(it)));
        return true;
    }

    bool close()
    {
        open_.pop_back();
        return true;
    }

    json& insert(json it)
    {
        if (open_.empty())
        {
            root_ = std::move(it);
            return root_;
        }
        auto& parent = *open_.back();
        if (parent.is_array())
        {
            parent.push_back(std::move(it));
            return parent.back();
        }
        return parent[key_] = std::move(it);
    }

    json root_;
    std::vector<json*> open_; ///< Arrays and objects that have not ended.
    std::string key_;         ///< Of the next value of an object.
    std::string fault_;
};

json parse(std::string_view bytes, json::input_format_t format)
{
    document_builder builder;
    const bool complete = json::sax_parse(bytes, &builder, format);
    return builder.take(complete);
}

} // namespace

json parse_untrusted_json(std::string_view text)
{
    return parse(text, json::input_format_t::json);
}

json parse_untrusted_msgpack(std::string_view bytes)
{
    return parse(bytes, json::input_format_t::msgpack);
}

} // namespace pistachiopost
