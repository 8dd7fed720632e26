/// \file
/// Runs one attack on a gateway process and checks that the process survives it within
/// its memory and descriptors: abuse --attack=NAME --product=FILE --work=FOLDER.
#include "abuse/attacks.hpp"
#include "abuse/hostile_backend.hpp"
#include "abuse/process_usage.hpp"
#include "soak/deployment.hpp"

#include "process/task.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <vector>

DEFINE_string(product, "", "path of the pistachiopost program");
DEFINE_string(work, "", "folder for settings and logs");
DEFINE_string(attack, "", "name of the attack");
DEFINE_uint32(memory_mb, 100, "limits.memory_mb of the gateway");

namespace pistachiopost::abuse {
namespace {

constexpr milliseconds attack_length{9'000};
constexpr milliseconds start_limit{12'000};
// An ordinary caller repeats a request that was refused as not run.
constexpr int ordinary_attempts = 10;
constexpr milliseconds ordinary_pause{1'000};
constexpr milliseconds ordinary_timeout{5'000};
constexpr int connect_timeout_ms = 2'000;
// A connection takes three descriptors at most (docs/manual/settings.md); the rest is for
// listeners, the store and other gateways.
constexpr std::size_t descriptors_per_connection = 3;
constexpr std::size_t other_descriptors = 64;
constexpr std::size_t max_connections = 500; // as the deployment configures

const attack* find_attack(std::string_view name)
{
    for (const auto& it : attacks())
    {
        if (it.name == name)
        {
            return &it;
        }
    }
    return nullptr;
}

void run_crowd(const attack& it, const attack_target& target)
{
    std::vector<task> clients;
    for (std::size_t n = 0; n < it.clients; ++n)
    {
        clients.emplace_back([&, n] {
            try
            {
                it.run(target, n);
            }
            catch (const connection_error&)
            {
                // Refusing such a client is allowed.
            }
        });
    }
    for (auto& client : clients)
    {
        client.join();
    }
}

/// Returns the status of one ordinary request, 0 if there was no answer.
int ask(const endpoint& gateway)
{
    try
    {
        tcp_stream stream(connect_tcp(gateway, connect_timeout_ms));
        http_call call{"GET", "/look/ordinary", {}, {}};
        call.fields = {{"Api-Key", "key-a"}, {"Deadline-Ms", "4000"}};
        return make_call(stream, "soak.test", call, steady::now() + ordinary_timeout)
            .status;
    }
    catch (const connection_error&)
    {
        return 0;
    }
}

void require(bool condition, std::string text, std::vector<std::string>& violations)
{
    if (!condition)
    {
        violations.push_back(std::move(text));
    }
}

int run(const attack& it)
{
    constexpr int ok = 200;
    soak::deployment target(FLAGS_product, FLAGS_work, {1, 1, 0, FLAGS_memory_mb}, 1);
    hostile_backend server("w-hostile");
    const nlohmann::json row{{"service", "plain"},
                             {"zone", "z0"},
                             {"slots", 64},
                             {"state", "ready"},
                             {"address", to_string(server.local_endpoint())},
                             {"born", 1}};
    target.store.write("servers", server.id(), row.dump());
    target.start(0);
    if (!target.wait_ready(0, start_limit) ||
        ask(target.gateways[0].caller_endpoint) != ok)
    {
        throw std::runtime_error("the gateway does not serve");
    }
    const auto& gateway = target.gateways[0];
    usage_sampler sampler(gateway.pid, gateway.caller_endpoint);
    run_crowd(it, {gateway.caller_endpoint, steady::now() + attack_length});

    std::vector<std::string> violations;
    int status = 0;
    for (int n = 0; n < ordinary_attempts && status != ok; ++n)
    {
        wait_readable(-1, -1,
                      steady::now() + (n == 0 ? milliseconds{0} : ordinary_pause));
        status = ask(gateway.caller_endpoint);
    }
    const auto peaks = sampler.stop();
    require(!target.reap_if_exited(0), "the process ended", violations);
    require(status == ok,
            fmt::format("an ordinary request got status {} afterwards", status),
            violations);
    const auto limit = static_cast<std::uint64_t>(FLAGS_memory_mb) << 20U;
    require(peaks.resident_bytes <= limit, "resident bytes over limits.memory_mb",
            violations);
    require(peaks.together_bytes <= limit,
            "resident and unread bytes over limits.memory_mb", violations);
    require(peaks.descriptors <=
                max_connections * descriptors_per_connection + other_descriptors,
            "more descriptors than limits.max_connections allows", violations);
    fmt::print("{}: peaks {} MB resident, {} MB unread, {} MB together of {}, "
               "{} descriptors; status {} afterwards\n",
               it.name, peaks.resident_bytes >> 20U, peaks.unread_bytes >> 20U,
               peaks.together_bytes >> 20U, FLAGS_memory_mb, peaks.descriptors, status);
    for (const auto& text : violations)
    {
        fmt::print("  broken: {}\n", text);
    }
    return violations.empty() ? 0 : 1;
}

} // namespace
} // namespace pistachiopost::abuse

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        const auto* it = pistachiopost::abuse::find_attack(FLAGS_attack);
        if (it == nullptr)
        {
            fmt::print(stderr, "abuse: there is no attack {}\n", FLAGS_attack);
            return 2;
        }
        return pistachiopost::abuse::run(*it);
    }
    catch (const std::exception& it)
    {
        fmt::print(stderr, "abuse: {}\n", it.what());
        return 1;
    }
}
