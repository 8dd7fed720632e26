#include "soak/deployment.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <thread>

namespace pistachiopost::soak {

namespace {

using nlohmann::json;

constexpr int callers_port = 7'100;
constexpr int readiness_port = 7'101;
constexpr int metrics_port = 7'102;
constexpr int peers_port = 7'103;

std::string zone_name(std::size_t number)
{
    return fmt::format("z{}", number % zone_count);
}

json route(std::string_view name, std::string_view kind, std::string_view service)
{
    const bool stream = kind == "stream";
    return {{"name", name},
            {"host", "soak.test"},
            {"prefix", fmt::format("/{}/", name)},
            {"kind", kind},
            {"timeout-ms", 4'000},
            {"target-latency-ms", 300},
            {"max-attempts", 3},
            {"service", service},
            {"sticky", stream},
            {"resumable", stream},
            {"gap-target-ms", 250}};
}

} // namespace

deployment::deployment(std::filesystem::path product, std::filesystem::path work,
                       const deployment_size& size, std::uint64_t seed)
    : product_(std::move(product)), work_(std::move(work)), size_(size),
      address_prefix_(fmt::format("127.{}.{}", 64 + getpid() % 128, 1 + seed % 250))
{
    std::filesystem::create_directories(work_);
    for (std::size_t i = 0; i < size.engines + size.services; ++i)
    {
        const bool engine = i < size.engines;
        proxied_backend it;
        it.server = std::make_unique<backend_stub>(fmt::format("w{}", i), record);
        it.link = std::make_unique<proxy>(it.server->local_endpoint());
        it.service = engine ? "model" : "plain";
        backends.push_back(std::move(it));
    }
    configure(0);
    for (std::size_t i = 0; i < backends.size(); ++i)
    {
        put_row(i, false);
    }
    for (std::size_t i = 0; i < size.gateways; ++i)
    {
        gateway_process it;
        it.caller_endpoint = {fmt::format("{}.{}", address_prefix_, 10 + i),
                              callers_port};
        it.settings = work_ / fmt::format("gateway-{}.json", i);
        it.store_link = std::make_unique<proxy>(store.local_endpoint());
        gateways.push_back(std::move(it));
        write_settings(i);
    }
}

deployment::~deployment()
{
    for (std::size_t i = 0; i < gateways.size(); ++i)
    {
        if (gateways[i].pid != 0)
        {
            send_signal(i, SIGKILL);
            wait_exit(i);
        }
    }
}

void deployment::write_settings(std::size_t gateway) const
{
    const auto& it = gateways[gateway];
    const auto at = [&](int port) {
        return fmt::format("{}:{}", it.caller_endpoint.address, port);
    };
    const json settings{{"role", "gateway"},
                        {"vm", fmt::format("front-{}", gateway)},
                        {"zone", zone_name(gateway)},
                        {"region", "r"},
                        {"listen", at(callers_port)},
                        {"readiness", at(readiness_port)},
                        {"metrics", at(metrics_port)},
                        {"peers", at(peers_port)},
                        {"store", to_string(it.store_link->local_endpoint())},
                        {"limits",
                         {{"max_connections", 500 + settings_changes_},
                          {"memory_mb", size_.memory_mb},
                          {"cold_overage", cold_overage},
                          {"cold_slack", cold_slack}}}};
    std::ofstream(it.settings) << settings.dump(2);
}

void deployment::start(std::size_t gateway)
{
    auto& it = gateways[gateway];
    const auto log = (work_ / fmt::format("gateway-{}.log", gateway)).string();
    const auto product = product_.string();
    const auto settings = "--settings=" + it.settings.string();
    const pid_t pid = fork();
    if (pid == 0)
    {
        const int out =
            open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        close_range(3, ~0U, 0);
        execl(product.c_str(), product.c_str(), "gateway", settings.c_str(), nullptr);
        _exit(127);
    }
    if (pid < 0)
    {
        throw std::runtime_error("cannot start a gateway: fork failed");
    }
    it.pid = pid;
}

void deployment::send_signal(std::size_t gateway, int number) const
{
    kill(gateways[gateway].pid, number);
}

void deployment::change_settings(std::size_t gateway)
{
    ++settings_changes_;
    write_settings(gateway);
    send_signal(gateway, SIGHUP);
}

int deployment::wait_exit(std::size_t gateway)
{
    int status = 0;
    waitpid(gateways[gateway].pid, &status, 0);
    gateways[gateway].pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool deployment::reap_if_exited(std::size_t gateway)
{
    auto& it = gateways[gateway];
    if (it.pid != 0 && waitpid(it.pid, nullptr, WNOHANG) == it.pid)
    {
        it.pid = 0;
        return true;
    }
    return false;
}

bool deployment::wait_ready(std::size_t gateway, milliseconds timeout) const
{
    const auto until = steady::now() + timeout;
    const endpoint ready{gateways[gateway].caller_endpoint.address, readiness_port};
    while (steady::now() < until)
    {
        try
        {
            http_client client(ready, milliseconds{1'000});
            if (client.get("/").status == 200)
            {
                return true;
            }
        }
        catch (const connection_error&)
        {
            // Not listening yet.
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
    return false;
}

std::string deployment::configure(std::size_t extra)
{
    auto routes =
        json::array({route("read", "stream", "model"), route("look", "safe", "plain"),
                     route("book", "unsafe", "plain")});
    for (std::size_t i = 0; i < extra; ++i)
    {
        routes.push_back(route(fmt::format("extra{}", i), "safe", "plain"));
    }
    const auto own_route = fmt::format("version{}", ++version_);
    routes.push_back(route(own_route, "safe", "absent"));
    const json engine{
        {"slots", 16},     {"kv-capacity", 232'000},    {"stride", 43},
        {"step_ms", 1.02}, {"read_per_s", 2'060'000.0}, {"pairs_per_m", 0.001},
        {"chunk", 2'048}};
    auto services = json::array({json{{"name", "model"}, {"engine", engine}},
                                 json{{"name", "plain"}}, json{{"name", "absent"}}});
    for (auto& it : services)
    {
        if (size_.cold_starts)
        {
            it["cold-start-s"] = 3;
            it["cold-per-s"] = cold_per_second;
        }
    }
    const json document{
        {"version", version_ * 3},
        {"routes", routes},
        {"services", services},
        {"tenants",
         json::array({json{{"name", "ann"}, {"api-keys", json::array({"key-a"})}}})}};
    store.write("op", "config", document.dump());
    return fmt::format("/{}/", own_route);
}

void deployment::put_row(std::size_t which, bool leaving, milliseconds cold)
{
    const auto& it = backends[which];
    const json row{{"service", it.service},
                   {"zone", zone_name(which)},
                   {"slots", 16},
                   {"state", leaving ? "draining" : "ready"},
                   {"address", to_string(it.link->local_endpoint())},
                   {"cold-remaining-ms", cold.count()},
                   {"born", it.start_time_ms}};
    store.write("servers", it.server->id(), row.dump());
}

void deployment::remove_row(std::size_t which)
{
    store.remove("servers", backends[which].server->id());
}

std::vector<std::string> deployment::evacuate(std::size_t number)
{
    store.write("op", "evacuate/" + zone_name(number), "{}");
    std::vector<std::string> ids;
    for (std::size_t i = number % zone_count; i < backends.size(); i += zone_count)
    {
        ids.push_back(backends[i].server->id());
    }
    return ids;
}

void deployment::restore(std::size_t number)
{
    store.remove("op", "evacuate/" + zone_name(number));
}

std::vector<endpoint> deployment::caller_endpoints() const
{
    std::vector<endpoint> all;
    for (const auto& it : gateways)
    {
        all.push_back(it.caller_endpoint);
    }
    return all;
}

} // namespace pistachiopost::soak
