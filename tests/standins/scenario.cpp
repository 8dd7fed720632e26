#include "standins/scenario.hpp"

#include "connection/http_client.hpp"
#include "standins/model_answer.hpp"

#include <fmt/format.h>

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <csignal>
#include <functional>
#include <numeric>
#include <thread>

namespace pistachiopost::standins {

namespace {

using nlohmann::json;

constexpr milliseconds condition_timeout{30'000};
constexpr milliseconds condition_interval{20};
constexpr milliseconds probe_timeout{2'000};

void wait_for(const std::function<bool()>& holds, const std::string& what)
{
    const auto deadline = steady::now() + condition_timeout;
    while (!holds())
    {
        if (steady::now() > deadline)
        {
            throw scenario_error("condition not met within 30 s: " + what);
        }
        std::this_thread::sleep_for(condition_interval);
    }
}

void require(bool holds, const std::string& what)
{
    if (!holds)
    {
        throw scenario_error(what);
    }
}

std::string describe(const outcome& it)
{
    return fmt::format("{} (status {}, type \"{}\", execution \"{}\": {})", it.kind(),
                       it.status, it.type, it.execution, it.detail);
}

std::uint64_t sum_of(const load_result& it, std::uint64_t class_result::*field)
{
    return std::accumulate(
        it.classes.begin(), it.classes.end(), std::uint64_t{0},
        [field](std::uint64_t sum, const class_result& row) { return sum + row.*field; });
}

/// Returns the response body, empty if the connection fails.
std::string response_body(const endpoint& where, std::string_view path)
{
    try
    {
        return http_client(where, probe_timeout).get(path).body;
    }
    catch (const connection_error&)
    {
        return {};
    }
}

/// Returns whether the value at the condition's JSON pointer satisfies the condition.
bool matches(const json& condition, const json& document)
{
    const json::json_pointer pointer(condition.value("pointer", ""));
    const auto actual = document.contains(pointer) ? document[pointer] : json(nullptr);
    const bool size_ok =
        !condition.contains("size") || actual.size() == condition["size"];
    const bool minimum_ok = !condition.contains("at_least") ||
                            (actual.is_number() &&
                             actual.get<double>() >= condition["at_least"].get<double>());
    return size_ok && minimum_ok &&
           (!condition.contains("equals") || actual == condition["equals"]);
}

} // namespace

scenario::scenario(fleet& processes, std::uint64_t seed) : fleet_(processes), seed_(seed)
{
}

void scenario::run(const json& steps)
{
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        try
        {
            run_step(steps[i]);
        }
        catch (const std::exception& it)
        {
            throw scenario_error(
                fmt::format("step {} {}: {}", i + 1, steps[i].dump(), it.what()));
        }
    }
}

void scenario::run_step(const json& step)
{
    const std::map<std::string, std::function<void(const json&)>> actions{
        {"wait_ready", [this](const json&) { wait_ready(); }},
        {"send", [this](const json& it) { send(it); }},
        {"operate", [this](const json& it) { run_operator_step(it); }},
        {"raw", [this](const json& it) { send_raw(it); }},
        {"expect", [this](const json& it) { expect(it); }},
        {"load", [this](const json& it) { start_load(it); }},
        {"finish_load", [this](const json& it) { finish_load(it); }},
        {"until", [this](const json& it) { wait_until(it); }},
        {"wait_released", [this](const json&) { wait_released(); }},
        {"kill",
         [this](const json& it) {
             fleet_.signal(it, SIGKILL);
             fleet_.wait_exit(it);
         }},
        {"wait_death", [this](const json& it) { fleet_.wait_exit(it); }},
        {"pause", [this](const json& it) { fleet_.signal(it, SIGSTOP); }},
        {"resume", [this](const json& it) { fleet_.signal(it, SIGCONT); }},
        {"terminate", [this](const json& it) { fleet_.signal(it, SIGTERM); }},
        {"wait_graceful",
         [this](const json& it) {
             const int code = fleet_.wait_exit(it);
             require(code == 0, fmt::format("exit code {}", code));
         }},
        {"start", [this](const json& it) { fleet_.start(it); }},
        {"fault",
         [this](const json& it) {
             post_json(fleet_.endpoint_of(it.at("at")), "/faults", it.at("set"));
         }},
        {"leave", [this](const json& it) { fleet_.publish_vms(it); }},
        {"drain", [this](const json& it) { fleet_.publish_configuration(it); }},
    };
    const auto action = step.begin();
    const auto found = actions.find(action.key());
    require(step.size() == 1 && found != actions.end(), "unknown action " + action.key());
    found->second(action.value());
}

void scenario::send(const json& it)
{
    call single;
    single.entry = fleet_.endpoint_of(it.value("entry", "entry-1"));
    single.key = it.value("key", fleet_.keys().at(it.value("customer", 1U) - 1));
    single.output_tokens = it.value("output", 16U);
    single.stream = it.value("stream", true);
    single.chat = it.value("chat", false);
    single.deadline_ms = it.value("deadline_ms", 30'000U);
    single.idempotency_key = it.value("idempotency_key", "");
    single.disconnect_after = it.value("leave_after", 0U);
    if (it.contains("service"))
    {
        single.service_path = it["service"].get<std::string>();
        single.prompt = it.value("body", "");
    }
    else
    {
        single.model = it.value("model", "lens-model");
        single.prompt =
            make_prompt(it.value("tokens", 1'000U), it.value("seed", ++seed_));
        if (it.value("poison", false))
        {
            single.prompt += poison_mark;
        }
    }
    calls_[it.at("call")] = std::async(
        std::launch::async, [single = std::move(single)] { return make_call(single); });
}

void scenario::expect(const json& it)
{
    const auto got = calls_.at(it.at("call")).get();
    const auto check_field = [&](const char* name, const std::string& actual) {
        require(!it.contains(name) || it[name] == actual,
                fmt::format("expected {} {}, got {}", name, it.value(name, ""),
                            describe(got)));
    };
    check_field("outcome", std::string(got.kind()));
    check_field("type", got.type);
    check_field("execution", got.execution);
    require(!it.contains("status") || it["status"] == got.status, "got " + describe(got));
    require(!it.contains("answer") || it["answer"] == got.detail, "got " + describe(got));
}

/// Runs an operator command. An argument "@NAME" is replaced by the id of the plan that
/// an earlier step stored with keep_plan.
void scenario::run_operator_step(const json& it)
{
    auto words = it.at("words").get<std::vector<std::string>>();
    for (auto& word : words)
    {
        if (word.starts_with('@'))
        {
            word = plans_.at(word.substr(1));
        }
    }
    std::string output;
    const int code = fleet_.run_operator_command(words, output);
    require(code == it.value("exit", 0), fmt::format("exit code {}: {}", code, output));
    for (const auto& part : it.value("output_has", std::vector<std::string>{}))
    {
        require(output.find(part) != std::string::npos,
                fmt::format("output lacks \"{}\": {}", part, output));
    }
    if (it.contains("keep_plan"))
    {
        plans_[it["keep_plan"]] = output.substr(output.find("p-"), 10);
    }
}

/// Sends raw bytes, optionally shuts down the sending side, and waits until the response
/// contains the expected text.
void scenario::send_raw(const json& it)
{
    const auto sock =
        connect_tcp(fleet_.endpoint_of(it.value("entry", "entry-1")), 2'000);
    auto bytes = it.at("bytes").get<std::string>();
    bytes.append(it.value("padding", 0U), 'x');
    const auto sent = ::send(sock.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    require(sent == static_cast<ssize_t>(bytes.size()),
            "the entry did not accept all bytes of the request");
    if (it.value("close", false))
    {
        ::shutdown(sock.get(), SHUT_WR);
    }
    const auto wanted = it.at("answer_has").get<std::string>();
    std::string got;
    wait_for(
        [&] {
            std::array<char, 4'096> buf{};
            const auto n = ::recv(sock.get(), buf.data(), buf.size(), MSG_DONTWAIT);
            got.append(buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
            return got.find(wanted) != std::string::npos;
        },
        "response contains " + wanted);
}

void scenario::start_load(const json& it)
{
    load wanted;
    for (const auto& name : fleet_.names("entry"))
    {
        wanted.entries.push_back(fleet_.endpoint_of(name));
    }
    wanted.keys = fleet_.keys();
    wanted.customer_shares.assign(wanted.keys.size(), 1.0);
    wanted.customer_shares[0] = it.value("large_customer_share", 3.0);
    wanted.model = "lens-model";
    wanted.seed = it.value("seed", seed_);
    wanted.rate = it.value("rate", 10.0);
    wanted.seconds = it.value("seconds", 3.0);
    wanted.peak_factor = it.value("crest", 1.0);
    wanted.long_share = it.value("long_share", 0.02);
    wanted.max_tokens = it.value("max_tokens", std::uint64_t{1'000'000});
    wanted.max_output = it.value("max_output", 32U);
    wanted.deadline_ms = it.value("deadline_ms", 30'000U);
    running_load_ = std::async(std::launch::async,
                               [wanted = std::move(wanted)] { return run_load(wanted); });
}

void scenario::finish_load(const json& it)
{
    load_ = running_load_.get();
    if (it.value("print", false))
    {
        print_table(*load_);
    }
    const auto failed = sum_of(*load_, &class_result::failed);
    const auto answered = sum_of(*load_, &class_result::answered);
    const auto sent = sum_of(*load_, &class_result::sent);
    const auto text = fmt::format("sent {}, answered {}, failed {}: {}", sent, answered,
                                  failed, json(load_->refusals).dump());
    require(failed <= it.value("failed_at_most", 0U), text);
    require(sum_of(*load_, &class_result::late) == 0,
            "calls ended after their deadline; " + text);
    const auto share = static_cast<double>(answered) / static_cast<double>(sent);
    require(share >= it.value("answered_share", 0.0), text);
}

void scenario::wait_until(const json& it)
{
    const auto where = fleet_.endpoint_of(it.at("at"));
    const auto path = it.at("get").get<std::string>();
    if (it.contains("text_has"))
    {
        const auto wanted = it["text_has"].get<std::string>();
        wait_for(
            [&] { return response_body(where, path).find(wanted) != std::string::npos; },
            it.dump());
        return;
    }
    wait_for([&] { return matches(it, get_json(where, path)); }, it.dump());
}

/// Waits until every entry is linked to all agents.
void scenario::wait_ready()
{
    const auto wanted = fmt::format("ready, {} agents\n", fleet_.names("agent").size());
    for (const auto& name : fleet_.names("entry"))
    {
        wait_for(
            [&] { return response_body(fleet_.endpoint_of(name), "/readyz") == wanted; },
            name + " is ready");
    }
}

/// Waits until no engine has streams or used memory.
void scenario::wait_released()
{
    for (const auto& name : fleet_.names("engine"))
    {
        wait_for(
            [&] {
                const auto state = get_json(fleet_.endpoint_of(name), "/v1/state");
                return state.is_object() && state.at("memory_used") == 0 &&
                       state.at("streams").empty();
            },
            name + " has released all memory");
    }
}

} // namespace pistachiopost::standins
