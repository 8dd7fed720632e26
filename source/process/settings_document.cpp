#include "process/settings_document.hpp"

#include "process/json_reader.hpp"

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <iterator>

namespace pistachiopost {

namespace {

using namespace std::string_view_literals;

constexpr number_range milliseconds_range{1, 3'600'000};
constexpr number_range bytes_range{1'024, 1'073'741'824};
constexpr number_range share_range{0, 1};

constexpr std::array level_names{"debug"sv, "info"sv, "warn"sv, "error"sv};
constexpr std::array role_names{"entry"sv, "agent"sv, "gateway"sv};
constexpr std::array choice_names{"two-choices"sv, "least-loaded"sv, "round-robin"sv};
constexpr std::array queue_names{"fair"sv, "fifo"sv};
constexpr std::array kind_names{"engine"sv, "service"sv};

endpoint read_endpoint(json_reader& parent, std::string_view name)
{
    auto in = parent.object(name, true);
    endpoint it;
    it.address = in.string("address");
    in_addr parsed{};
    if (!it.address.empty() && inet_pton(AF_INET, it.address.c_str(), &parsed) != 1)
    {
        in.add_diagnostic("address", "must be an IPv4 address such as 127.0.0.1");
    }
    it.port = static_cast<std::uint16_t>(in.integer("port", {1, 65'535}));
    in.report_unknown_fields();
    return it;
}

milliseconds read_milliseconds(json_reader& in, std::string_view name,
                               milliseconds fallback,
                               number_range range = milliseconds_range)
{
    const auto count =
        in.integer(name, range, static_cast<std::uint64_t>(fallback.count()));
    return milliseconds{static_cast<milliseconds::rep>(count)};
}

identity read_identity(json_reader& in)
{
    identity it;
    it.vm = in.string("vm");
    it.zone = in.string("zone");
    it.region = in.string("region");
    it.min_log_level = static_cast<log_level>(
        in.one_of("log_level", level_names, static_cast<std::size_t>(log_level::info)));
    return it;
}

void read_entry_limits(json_reader& root, entry_settings& it)
{
    auto in = root.object("limits", false);
    it.max_connections = static_cast<std::uint32_t>(
        in.integer("max_connections", {1, 20'000}, it.max_connections));
    it.max_body_bytes = in.integer("max_body_bytes", bytes_range, it.max_body_bytes);
    it.default_deadline =
        read_milliseconds(in, "default_deadline_ms", it.default_deadline);
    it.max_deadline = read_milliseconds(in, "max_deadline_ms", it.max_deadline);
    if (it.default_deadline > it.max_deadline)
    {
        in.add_diagnostic("default_deadline_ms", "must not exceed max_deadline_ms");
    }
    it.stop_delay = read_milliseconds(in, "stop_delay_ms", it.stop_delay, {0, 60'000});
    it.poll_interval =
        read_milliseconds(in, "poll_interval_ms", it.poll_interval, {20, 60'000});
    in.report_unknown_fields();
}

void read_entry_policy(json_reader& root, entry_settings& it)
{
    auto in = root.object("policy", false);
    it.choice = static_cast<load_balancing_policy>(in.one_of("choice", choice_names, 0));
    it.subset_size =
        static_cast<std::uint32_t>(in.integer("subset_size", {1, 1'000}, it.subset_size));
    it.max_links =
        static_cast<std::uint32_t>(in.integer("max_links", {2, 2'000}, it.max_links));
    it.short_share = in.number("short_share", {0, 0.5}, it.short_share);
    it.retry_share = in.number("retry_share", share_range, it.retry_share);
    it.retries.max_attempts = static_cast<std::uint32_t>(
        in.integer("max_attempts", {1, 10}, it.retries.max_attempts));
    in.report_unknown_fields();
}

entry_settings read_entry(json_reader& root)
{
    entry_settings it;
    it.self = read_identity(root);
    it.listen = read_endpoint(root, "listen");
    it.table_service = read_endpoint(root, "table_service");
    it.vm_list = read_endpoint(root, "vm_list");
    read_entry_limits(root, it);
    read_entry_policy(root, it);
    return it;
}

void read_backend(json_reader& root, agent_settings& it)
{
    auto in = root.object("backend", true);
    it.backend.address = in.string("address");
    it.backend.port = static_cast<std::uint16_t>(in.integer("port", {1, 65'535}));
    it.kind = static_cast<work_kind>(in.one_of("kind", kind_names));
    it.serves = in.string("serves");
    it.limits.slots =
        static_cast<std::uint32_t>(in.integer("slots", {1, 1'024}, it.limits.slots));
    it.limits.memory_tokens =
        in.integer("memory_tokens", {1'000, 1e9}, it.limits.memory_tokens);
    it.limits.prefill_rate =
        in.number("prefill_tokens_per_s", {1, 1e9}, it.limits.prefill_rate);
    it.limits.token_interval =
        read_milliseconds(in, "token_interval_ms", it.limits.token_interval, {1, 10'000});
    in.report_unknown_fields();
}

void read_agent_policy(json_reader& root, agent_settings& it)
{
    auto in = root.object("policy", false);
    it.queue = static_cast<queue_policy>(in.one_of("queue", queue_names, 0));
    it.limits.max_queued = static_cast<std::uint32_t>(
        in.integer("max_queued", {1, 100'000}, it.limits.max_queued));
    it.limits.long_memory_share =
        in.number("long_memory_share", share_range, it.limits.long_memory_share);
    it.max_body_bytes = in.integer("max_body_bytes", bytes_range, it.max_body_bytes);
    it.hang_timeout = read_milliseconds(in, "hang_timeout_ms", it.hang_timeout);
    it.stop_grace = read_milliseconds(in, "stop_grace_ms", it.stop_grace);
    in.report_unknown_fields();
}

agent_settings read_agent(json_reader& root)
{
    agent_settings it;
    it.self = read_identity(root);
    it.listen = read_endpoint(root, "listen");
    read_backend(root, it);
    read_agent_policy(root, it);
    return it;
}

endpoint read_endpoint_string(json_reader& in, std::string_view name)
{
    const auto it = parse_endpoint(in.string(name));
    if (!it)
    {
        in.add_diagnostic(name,
                          "must be an IPv4 address and a port such as 127.0.0.1:7100");
    }
    return it.value_or(endpoint());
}

framing_limits read_framing(json_reader& in)
{
    framing_limits it;
    it.max_chunk_line_bytes = static_cast<std::uint32_t>(
        in.integer("max_chunk_line_bytes", {16, 65'536}, it.max_chunk_line_bytes));
    if (in.has("max_trailer_fields"))
    {
        it.max_trailer_fields = static_cast<std::uint32_t>(
            in.integer("max_trailer_fields", {0, 1'000}, std::nullopt));
    }
    it.max_framing_bytes = static_cast<std::uint64_t>(
        in.integer("max_framing_bytes", {1'024, 1 << 30},
                   static_cast<std::int64_t>(it.max_framing_bytes)));
    return it;
}

gateway_settings read_gateway(json_reader& root)
{
    gateway_settings it;
    it.self = read_identity(root);
    it.listen = read_endpoint_string(root, "listen");
    it.readiness = read_endpoint_string(root, "readiness");
    it.metrics = read_endpoint_string(root, "metrics");
    it.peers = read_endpoint_string(root, "peers");
    it.store = read_endpoint_string(root, "store");
    auto zones = root.object("zones", false);
    for (const auto& zone : zones.field_names())
    {
        it.zone_regions[zone] = zones.string(zone);
    }
    auto in = root.object("limits", false);
    it.max_connections = static_cast<std::uint32_t>(
        in.integer("max_connections", {1, 20'000}, it.max_connections));
    it.framing = read_framing(in);
    it.repeats.ratio = in.number("repeat_ratio", share_range, it.repeats.ratio);
    it.repeats.slack = in.number("repeat_slack", {0, 1e6}, it.repeats.slack);
    it.repeats.window = read_milliseconds(in, "repeat_window_ms", it.repeats.window);
    it.cold.overage = in.number("cold_overage", {0, 1'000}, it.cold.overage);
    it.cold.slack = in.number("cold_slack", {0, 1e6}, it.cold.slack);
    it.stop_grace = read_milliseconds(in, "stop_grace_ms", it.stop_grace);
    it.cores = in.number("cores", {0, 1'024}, it.cores);
    const auto memory_mb = in.integer("memory_mb", {16, 1'048'576},
                                      static_cast<std::int64_t>(it.memory_bytes >> 20U));
    it.memory_bytes = static_cast<std::uint64_t>(memory_mb) << 20U;
    it.max_answer_bytes = static_cast<std::uint64_t>(
        in.integer("max_answer_bytes", {1'024, 1 << 30},
                   static_cast<std::int64_t>(it.max_answer_bytes)));
    it.max_event_bytes = static_cast<std::uint64_t>(
        in.integer("max_event_bytes", {1'024, 1 << 30},
                   static_cast<std::int64_t>(it.max_event_bytes)));
    in.report_unknown_fields();
    return it;
}

} // namespace

process_settings parse_settings(std::string_view text)
{
    std::vector<settings_diagnostic> diagnostics;
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
    {
        throw settings_error(std::vector{settings_diagnostic{"/", "is not valid JSON"}});
    }
    json_reader root(document, "", diagnostics);
    process_settings result;
    switch (root.one_of("role", role_names))
    {
    case 0:
        result = read_entry(root);
        break;
    case 1:
        result = read_agent(root);
        break;
    default:
        result = read_gateway(root);
        break;
    }
    root.report_unknown_fields();
    if (!diagnostics.empty())
    {
        throw settings_error(std::move(diagnostics));
    }
    return result;
}

process_settings read_settings_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        throw settings_error(std::vector{settings_diagnostic{
            path, "cannot be read; check the name and the permissions"}});
    }
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return parse_settings(text);
}

} // namespace pistachiopost
