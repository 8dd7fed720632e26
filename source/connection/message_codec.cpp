#include "connection/message_codec.hpp"

#include "connection/message_head.hpp"

#include <fmt/format.h>
#include <msgpack.hpp>

#include <charconv>

namespace pistachiopost {

namespace {

constexpr std::size_t max_fields = 64;
constexpr std::size_t max_string_bytes = 64U << 20U;
constexpr std::size_t max_depth = 4;

/// First element of each message; identifies its type.
enum class message_tag : std::uint8_t
{
    started = 1,
    chunk = 2,
    end = 3,
    failed = 4,
    report = 5,
    crash = 6
};

using packer = msgpack::packer<msgpack::sbuffer>;

template <typename... Fields>
void pack(packer& out, message_tag tag, const Fields&... fields)
{
    out.pack_array(1 + sizeof...(fields));
    out.pack(static_cast<std::uint8_t>(tag));
    (out.pack(fields), ...);
}

void pack_message(packer& out, const attempt_started& it)
{
    pack(out, message_tag::started, it.memory_location);
}

void pack_message(packer& out, const answer_chunk& it)
{
    pack(out, message_tag::chunk, it.offset, it.count, it.bytes);
}

void pack_message(packer& out, const answer_end& it)
{
    pack(out, message_tag::end, it.total, it.status, it.content_type);
}

void pack_message(packer& out, const attempt_failed& it)
{
    pack(out, message_tag::failed, static_cast<int>(it.cause.reason),
         static_cast<int>(it.cause.state), it.cause.detail, it.cause.retry_after.count());
}

void pack_message(packer& out, const attempt_event& event)
{
    std::visit([&out](const auto& it) { pack_message(out, it); }, event);
}

void pack_message(packer& out, const load_report& it)
{
    pack(out, message_tag::report, it.boot, it.draining, it.healthy, it.running,
         it.queued, it.memory_used, it.memory_total, it.backlog, it.prefill_rate);
}

void pack_message(packer& out, const crash_record& it)
{
    pack(out, message_tag::crash, it.fingerprint, it.confirmed);
}

/// Reads the fields of one message in order.
class field_reader
{
public:
    explicit field_reader(const msgpack::object& message)
    {
        if (message.type != msgpack::type::ARRAY || message.via.array.size == 0)
        {
            throw codec_error("message is not a list with a tag");
        }
        fields_ = {message.via.array.ptr, message.via.array.size};
    }

    template <typename T>
    T next()
    {
        if (position_ >= fields_.size())
        {
            throw codec_error("message has too few fields");
        }
        return fields_[position_++].as<T>();
    }

private:
    std::span<const msgpack::object> fields_;
    std::size_t position_ = 0;
};

attempt_event unpack_failed(field_reader& in)
{
    attempt_failed it;
    it.cause.reason = static_cast<refusal_reason>(in.next<int>());
    it.cause.state = static_cast<run_state>(in.next<int>());
    it.cause.detail = in.next<std::string>();
    it.cause.retry_after = milliseconds{in.next<milliseconds::rep>()};
    return it;
}

load_report unpack_report(field_reader& in)
{
    load_report it;
    it.boot = in.next<std::string>();
    it.draining = in.next<bool>();
    it.healthy = in.next<bool>();
    it.running = in.next<std::uint32_t>();
    it.queued = in.next<std::uint32_t>();
    it.memory_used = in.next<std::uint64_t>();
    it.memory_total = in.next<std::uint64_t>();
    it.backlog = in.next<std::array<std::uint64_t, length_class_count>>();
    it.prefill_rate = in.next<double>();
    return it;
}

link_message unpack(const msgpack::object& message)
{
    field_reader in(message);
    switch (static_cast<message_tag>(in.next<std::uint8_t>()))
    {
    case message_tag::started:
        return attempt_event{attempt_started{in.next<std::string>()}};
    case message_tag::chunk: {
        answer_chunk it;
        it.offset = in.next<std::uint64_t>();
        it.count = in.next<std::uint64_t>();
        it.bytes = in.next<std::string>();
        return attempt_event{std::move(it)};
    }
    case message_tag::end: {
        answer_end it;
        it.total = in.next<std::uint64_t>();
        it.status = in.next<int>();
        if (!is_final_status(it.status))
        {
            throw codec_error("answer has an invalid status");
        }
        it.content_type = in.next<std::string>();
        return attempt_event{std::move(it)};
    }
    case message_tag::failed:
        return unpack_failed(in);
    case message_tag::report:
        return unpack_report(in);
    case message_tag::crash: {
        crash_record it;
        it.fingerprint = in.next<std::uint64_t>();
        it.confirmed = in.next<bool>();
        return it;
    }
    }
    throw codec_error("message has an unknown tag");
}

std::string_view required_field(const header_map& headers, std::string_view name)
{
    const auto it = headers.find(name);
    if (it == headers.end())
    {
        throw codec_error(fmt::format("order lacks the field {}", name));
    }
    return it->second;
}

template <typename Number>
Number numeric_field(const header_map& headers, std::string_view name)
{
    const auto text = required_field(headers, name);
    Number value{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc{} || end != text.data() + text.size())
    {
        throw codec_error(fmt::format("field {} of the order is not a number", name));
    }
    return value;
}

std::string kind_name(work_kind kind)
{
    switch (kind)
    {
    case work_kind::completion:
        return "completion";
    case work_kind::service:
        return "service";
    case work_kind::reservation:
        break;
    }
    return "reservation";
}

work_kind parse_kind(std::string_view name)
{
    for (const auto kind :
         {work_kind::completion, work_kind::service, work_kind::reservation})
    {
        if (name == kind_name(kind))
        {
            return kind;
        }
    }
    throw codec_error(fmt::format("order has the unknown kind {}", name));
}

} // namespace

std::vector<header_field> encode_request_headers(std::string_view path)
{
    return {{":method", "POST"},
            {":scheme", "http"},
            {":authority", "agent"},
            {":path", std::string(path)}};
}

std::vector<header_field> encode_order(const attempt_order& order)
{
    auto headers = encode_request_headers(attempt_path);
    const auto add = [&headers](std::string_view name, std::string value) {
        headers.push_back({std::string(name), std::move(value)});
    };
    add("attempt", order.attempt_id);
    add("customer", order.customer);
    add("weight", std::to_string(order.weight));
    add("kind", kind_name(order.kind));
    add("target", order.target);
    add("method", order.method);
    add("target-path", order.path);
    add("content-type", order.content_type);
    add("prompt-tokens", std::to_string(order.prompt_tokens));
    add("output-tokens", std::to_string(order.output_tokens));
    add("resume-offset", std::to_string(order.resume_offset));
    add("fingerprint", std::to_string(order.fingerprint));
    add("remaining-ms", std::to_string(order.remaining.count()));
    add("repeatable", order.repeatable ? "1" : "0");
    add("reserved-tokens", std::to_string(order.reserved_tokens));
    add("members", order.members);
    add("isolated", order.isolated ? "1" : "0");
    add("configuration", std::to_string(order.configuration_version));
    return headers;
}

attempt_order decode_order(const header_map& headers)
{
    attempt_order it;
    it.attempt_id = required_field(headers, "attempt");
    it.customer = required_field(headers, "customer");
    it.weight = numeric_field<std::uint32_t>(headers, "weight");
    it.kind = parse_kind(required_field(headers, "kind"));
    it.target = required_field(headers, "target");
    it.method = required_field(headers, "method");
    it.path = required_field(headers, "target-path");
    it.content_type = required_field(headers, "content-type");
    it.prompt_tokens = numeric_field<std::uint64_t>(headers, "prompt-tokens");
    it.output_tokens = numeric_field<std::uint32_t>(headers, "output-tokens");
    it.resume_offset = numeric_field<std::uint64_t>(headers, "resume-offset");
    it.fingerprint = numeric_field<std::uint64_t>(headers, "fingerprint");
    it.remaining =
        milliseconds{numeric_field<milliseconds::rep>(headers, "remaining-ms")};
    it.repeatable = required_field(headers, "repeatable") == "1";
    it.reserved_tokens = numeric_field<std::uint64_t>(headers, "reserved-tokens");
    it.members = required_field(headers, "members");
    it.isolated = required_field(headers, "isolated") == "1";
    it.configuration_version = numeric_field<std::uint64_t>(headers, "configuration");
    return it;
}

std::string encode(const link_message& message)
{
    msgpack::sbuffer buf;
    packer out(buf);
    std::visit([&out](const auto& it) { pack_message(out, it); }, message);
    return {buf.data(), buf.size()};
}

struct message_reader::state
{
    msgpack::unpacker unpacker{nullptr, nullptr, MSGPACK_UNPACKER_INIT_BUFFER_SIZE,
                               msgpack::unpack_limit(max_fields, max_fields,
                                                     max_string_bytes, max_string_bytes,
                                                     0, max_depth)};
};

message_reader::message_reader() : state_(std::make_unique<state>()) {}
message_reader::message_reader(message_reader&&) noexcept = default;
message_reader& message_reader::operator=(message_reader&&) noexcept = default;
message_reader::~message_reader() = default;

void message_reader::feed(std::string_view bytes)
{
    state_->unpacker.reserve_buffer(bytes.size());
    std::memcpy(state_->unpacker.buffer(), bytes.data(), bytes.size());
    state_->unpacker.buffer_consumed(bytes.size());
}

std::optional<link_message> message_reader::next()
{
    try
    {
        msgpack::object_handle handle;
        if (!state_->unpacker.next(handle))
        {
            return std::nullopt;
        }
        return unpack(handle.get());
    }
    catch (const msgpack::type_error&)
    {
        throw codec_error("message has a field of the wrong type");
    }
    catch (const msgpack::unpack_error& it)
    {
        throw codec_error(std::string("message is not msgpack: ") + it.what());
    }
}

} // namespace pistachiopost
