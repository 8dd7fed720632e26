#include "standins/fleet.hpp"

#include "connection/http_client.hpp"
#include "version/configuration_document.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <thread>

namespace pistachiopost::standins {

namespace {

using nlohmann::json;

constexpr std::uint16_t port = 7'100;
constexpr milliseconds call_timeout{5'000};
constexpr int host_table = 1;
constexpr int host_vms = 2;
constexpr int host_engines = 10;
constexpr int host_agents = 60;
constexpr int host_services = 110;
constexpr int host_service_agents = 140;
constexpr int host_entries = 200;

json endpoint_json(const endpoint& it)
{
    return {{"address", it.address}, {"port", it.port}};
}

/// Waits until the endpoint accepts connections.
void wait_listening(const endpoint& where)
{
    for (int i = 0; i < 1'000; ++i)
    {
        try
        {
            connect_tcp(where, 1'000);
            return;
        }
        catch (const connection_error&)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }
    throw connection_error("no process accepts connections on " + to_string(where));
}

} // namespace

json get_json(const endpoint& where, std::string_view path)
{
    try
    {
        return json::parse(http_client(where, call_timeout).get(path).body, nullptr,
                           false);
    }
    catch (const connection_error&)
    {
        return nullptr;
    }
}

void post_json(const endpoint& where, std::string_view path, const json& body)
{
    try
    {
        http_client(where, call_timeout).post(path, body.dump());
    }
    catch (const connection_error&)
    {
        // A process that is told to exit does not respond.
    }
}

fleet::fleet(json description, std::filesystem::path product,
             std::filesystem::path standins, std::filesystem::path work)
    : description_(std::move(description)), product_(std::move(product)),
      standins_(std::move(standins)), work_(std::move(work))
{
    std::filesystem::create_directories(work_);
    add_standin("table", "table", address(host_table), {});
    add_standin("vms", "vms", address(host_vms),
                {fmt::format("--lag_ms={}", description_.value("list_lag_ms", 0))});
    const auto flags = description_.value("engine_flags", std::vector<std::string>{});
    for (std::size_t i = 1; i <= description_.value("engines", 1U); ++i)
    {
        const auto name = fmt::format("engine-{}", i);
        add_standin(name, "engine", address(host_engines + static_cast<int>(i)), flags);
        add_agent(fmt::format("agent-{}", i), i, name, true);
    }
    for (std::size_t i = 1; i <= description_.value("services", 0U); ++i)
    {
        const auto name = fmt::format("service-{}", i);
        add_standin(name, "service", address(host_services + static_cast<int>(i)), {});
        add_agent(fmt::format("agent-service-{}", i), i, name, false);
    }
    for (std::size_t i = 1; i <= description_.value("entries", 1U); ++i)
    {
        const auto name = fmt::format("entry-{}", i);
        const auto at = address(host_entries + static_cast<int>(i));
        auto settings = identity_settings(name, i);
        settings.update({{"role", "entry"},
                         {"listen", endpoint_json(at)},
                         {"table_service", endpoint_json(endpoint_of("table"))},
                         {"vm_list", endpoint_json(endpoint_of("vms"))},
                         {"limits", {{"poll_interval_ms", 200}}}});
        settings.merge_patch(description_.value("entry", json::object()));
        add_role(name, std::move(settings), at);
    }
}

fleet::~fleet()
{
    for (const auto& [name, it] : processes_)
    {
        if (it.pid > 0)
        {
            ::kill(it.pid, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
        }
    }
}

void fleet::start_all()
{
    for (const auto* prefix : {"table", "vms", "engine", "service", "agent"})
    {
        for (const auto& name : names(prefix))
        {
            start(name);
        }
    }
    publish_configuration({});
    publish_vms({});
    for (const auto& name : names("entry"))
    {
        start(name);
    }
}

std::vector<std::string> fleet::stop_product()
{
    std::vector<std::string> ungraceful;
    for (const auto* prefix : {"entry", "agent"})
    {
        const auto group = names(prefix);
        for (const auto& name : group)
        {
            signal(name, SIGTERM);
        }
        for (const auto& name : group)
        {
            if (processes_.at(name).pid > 0 && wait_exit(name) != 0)
            {
                ungraceful.push_back(name);
            }
        }
    }
    return ungraceful;
}

void fleet::start(const std::string& name)
{
    auto& it = processes_.at(name);
    std::vector<char*> words;
    for (auto& word : it.command)
    {
        words.push_back(word.data());
    }
    words.push_back(nullptr);
    const auto log = (work_ / (name + ".log")).string();
    it.pid = ::fork();
    if (it.pid == 0)
    {
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::execv(words[0], words.data());
        ::_exit(127);
    }
    wait_listening(it.where);
}

void fleet::signal(const std::string& name, int number)
{
    auto& it = processes_.at(name);
    if (it.pid > 0)
    {
        ::kill(it.pid, number);
    }
}

int fleet::wait_exit(const std::string& name)
{
    auto& it = processes_.at(name);
    int status = 0;
    ::waitpid(it.pid, &status, 0);
    it.pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
}

bool fleet::reap_if_exited(const std::string& name)
{
    auto& it = processes_.at(name);
    if (it.pid == 0 || ::waitpid(it.pid, nullptr, WNOHANG) != it.pid)
    {
        return false;
    }
    it.pid = 0;
    return true;
}

int fleet::run_operator_command(const std::vector<std::string>& words,
                                std::string& output)
{
    std::string entries;
    for (const auto& name : names("entry"))
    {
        entries += (entries.empty() ? "" : ",") + to_string(endpoint_of(name));
    }
    auto line = product_.string();
    for (const auto& word : words)
    {
        line += " '" + word + "'";
    }
    line += fmt::format(" --table={} --vms={} --entries={} 2>&1",
                        to_string(endpoint_of("table")), to_string(endpoint_of("vms")),
                        entries);
    FILE* pipe = ::popen(line.c_str(), "r");
    std::array<char, 1'024> buf{};
    while (const auto n = std::fread(buf.data(), 1, buf.size(), pipe))
    {
        output.append(buf.data(), n);
    }
    return WEXITSTATUS(::pclose(pipe));
}

void fleet::publish_vms(const std::vector<std::string>& leaving)
{
    auto list = vms_;
    for (auto& vm : list)
    {
        const auto found = std::find(leaving.begin(), leaving.end(), vm["vm"]);
        vm["state"] = found == leaving.end() ? "live" : "leaving";
    }
    post_json(endpoint_of("vms"), "/vms", list);
}

void fleet::publish_configuration(const std::vector<std::string>& drained)
{
    ++version_;
    const json head{
        {"table", "configuration"}, {"key", "head"}, {"write", {{"version", version_}}}};
    const json body{{"table", "configuration"},
                    {"key", fmt::format("version/{}", version_)},
                    {"write", configuration(drained)}};
    post_json(endpoint_of("table"), "/transactions", {{"operations", {head, body}}});
}

endpoint fleet::endpoint_of(const std::string& name) const
{
    return processes_.at(name).where;
}

std::vector<std::string> fleet::names(std::string_view prefix) const
{
    std::vector<std::string> found;
    for (const auto& [name, it] : processes_)
    {
        if (name.starts_with(prefix))
        {
            found.push_back(name);
        }
    }
    return found;
}

std::vector<std::string> fleet::keys() const
{
    std::vector<std::string> all;
    for (std::size_t i = 1; i <= description_.value("customers", 10U); ++i)
    {
        all.push_back(fmt::format("key-of-customer-{}", i));
    }
    return all;
}

std::pair<double, long> fleet::usage(const std::string& name) const
{
    const auto pid = processes_.at(name).pid;
    clockid_t clock{};
    timespec spent{};
    if (::clock_getcpuclockid(pid, &clock) == 0)
    {
        ::clock_gettime(clock, &spent);
    }
    std::ifstream memory(fmt::format("/proc/{}/statm", pid));
    std::string skip;
    long pages = 0;
    memory >> skip >> pages;
    constexpr double nanoseconds = 1e9;
    return {static_cast<double>(spent.tv_sec) +
                static_cast<double>(spent.tv_nsec) / nanoseconds,
            pages * (::sysconf(_SC_PAGESIZE) / 1'024)};
}

void fleet::add(const std::string& name, std::vector<std::string> command, endpoint at)
{
    processes_.emplace(name, process{std::move(command), std::move(at)});
}

void fleet::add_standin(const std::string& name, std::string kind, endpoint at,
                        std::vector<std::string> flags)
{
    std::vector<std::string> command{standins_.string(), std::move(kind),
                                     "--address=" + at.address,
                                     fmt::format("--port={}", at.port)};
    command.insert(command.end(), flags.begin(), flags.end());
    add(name, std::move(command), std::move(at));
}

void fleet::add_role(const std::string& name, json settings, endpoint at)
{
    const auto file = work_ / (name + ".json");
    std::ofstream(file) << settings.dump(2) << '\n';
    const auto role = settings["role"].get<std::string>();
    add(name, {product_.string(), role, "--settings", file.string()}, std::move(at));
}

void fleet::add_agent(const std::string& name, std::size_t i, const std::string& backend,
                      bool engine)
{
    const auto host = (engine ? host_agents : host_service_agents) + static_cast<int>(i);
    const auto at = address(host);
    const auto serves = engine ? "lens-model" : "rope-registry";
    auto settings = identity_settings(name, i);
    settings.update({{"role", "agent"},
                     {"listen", endpoint_json(at)},
                     {"backend", endpoint_json(endpoint_of(backend))}});
    settings["backend"].update(
        {{"kind", engine ? "engine" : "service"}, {"serves", serves}});
    settings.merge_patch(description_.value("agent", json::object()));
    vms_.push_back({{"vm", name},
                    {"address", at.address},
                    {"port", at.port},
                    {"zone", zone(i)},
                    {"region", "mu-west"},
                    {"kind", engine ? "engine" : "service"},
                    {"serves", serves}});
    add_role(name, std::move(settings), at);
}

endpoint fleet::address(int host) const
{
    const auto pid = ::getpid();
    return {fmt::format("127.{}.{}.{}", 1 + (pid / 250) % 200, pid % 250, host), port};
}

std::string fleet::zone(std::size_t i) const
{
    const auto zones = description_.value(
        "zones", std::vector<std::string>{"tamarin", "flicq", "reduit"});
    return zones[(i - 1) % zones.size()];
}

json fleet::identity_settings(const std::string& name, std::size_t i) const
{
    return {{"vm", name}, {"zone", zone(i)}, {"region", "mu-west"}};
}

json fleet::configuration(const std::vector<std::string>& drained) const
{
    json it{{"version", version_},
            {"models", {{"lens-model", json::object()}}},
            {"services", {{"rope-registry", {{"repeatable", false}}}}},
            {"drained", json::object()}};
    const auto all = keys();
    const auto weights = description_.value("weights", json::object());
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        const auto name = fmt::format("customer-{}", i + 1);
        it["customers"][name] = {{"weight", weights.value(name, 1)},
                                 {"keys", {{key_digest(all[i]), json::object()}}}};
    }
    for (const auto& vm : drained)
    {
        it["drained"][vm] = json::object();
    }
    return it;
}

} // namespace pistachiopost::standins
