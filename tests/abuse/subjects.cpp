#include "abuse/subjects.hpp"

#include "connection/http_call.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace pistachiopost::abuse {

namespace {

constexpr int status_ok = 200;
constexpr milliseconds start_limit{12'000};
constexpr milliseconds start_poll_interval{50};
constexpr milliseconds ordinary_timeout{5'000};
constexpr int connect_timeout_ms = 2'000;
// A connection takes three descriptors at most (docs/manual/settings.md); the rest is for
// listeners, the store and other gateways.
constexpr std::size_t descriptors_per_connection = 3;
constexpr std::size_t other_descriptors = 64;
constexpr std::size_t gateway_connections = 500; // as the deployment configures
constexpr std::size_t entry_connections = 60;
constexpr std::uint64_t entry_body_bytes = 1'000'000;
// What an entry needs besides the bodies of its connections.
constexpr std::uint64_t entry_base_bytes = 40U << 20U;
constexpr std::uint16_t entry_port = 7'100;
constexpr std::uint16_t closed_port = 7'101;

int call(const endpoint& to, std::string_view host, const http_call& it)
{
    try
    {
        tcp_stream stream(connect_tcp(to, connect_timeout_ms));
        return make_call(stream, host, it, steady::now() + ordinary_timeout).status;
    }
    catch (const connection_error&)
    {
        return 0;
    }
}

} // namespace

gateway_subject::gateway_subject(const std::filesystem::path& product,
                                 const std::filesystem::path& work,
                                 std::uint64_t memory_mb)
    : memory_mb_(memory_mb), deployment_(product, work, {1, 1, 0, false, memory_mb}, 1),
      server_("w-hostile")
{
    const nlohmann::json row{{"service", "plain"},
                             {"zone", "z0"},
                             {"slots", 64},
                             {"state", "ready"},
                             {"address", to_string(server_.local_endpoint())},
                             {"born", 1}};
    deployment_.store.write("servers", server_.id(), row.dump());
    deployment_.start(0);
    if (!deployment_.wait_ready(0, start_limit) || ask() != status_ok)
    {
        throw std::runtime_error("the gateway does not serve");
    }
}

int gateway_subject::ask() const
{
    http_call it{"GET", "/look/ordinary", {}, {}};
    it.fields = {{"Api-Key", "key-a"}, {"Deadline-Ms", "4000"}};
    return call(address(), "soak.test", it);
}

std::size_t gateway_subject::max_descriptors() const
{
    return gateway_connections * descriptors_per_connection + other_descriptors;
}

entry_subject::entry_subject(const std::filesystem::path& product,
                             const std::filesystem::path& work)
    : address_{fmt::format("127.{}.{}.1", 64 + getpid() % 128, 1 + getpid() % 250),
               entry_port}
{
    using nlohmann::json;
    std::filesystem::create_directories(work);
    const json closed{{"address", address_.address}, {"port", closed_port}};
    const json settings{
        {"role", "entry"},
        {"vm", "entry-1"},
        {"zone", "z0"},
        {"region", "r"},
        {"listen", {{"address", address_.address}, {"port", address_.port}}},
        {"table_service", closed},
        {"vm_list", closed},
        {"limits",
         {{"max_connections", entry_connections}, {"max_body_bytes", entry_body_bytes}}}};
    const auto file = work / "entry.json";
    std::ofstream(file) << settings.dump(2);
    const auto log = (work / "entry.log").string();
    const auto path = product.string();
    const auto flag = "--settings=" + file.string();
    pid_ = fork();
    if (pid_ == 0)
    {
        const int out =
            open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        close_range(3, ~0U, 0);
        execl(path.c_str(), path.c_str(), "entry", flag.c_str(), nullptr);
        _exit(127);
    }
    if (pid_ < 0)
    {
        throw std::runtime_error("cannot start an entry: fork failed");
    }
    const auto until = steady::now() + start_limit;
    while (ask() != status_ok)
    {
        if (steady::now() >= until)
        {
            throw std::runtime_error("the entry does not serve");
        }
        wait_readable(-1, -1, steady::now() + start_poll_interval);
    }
}

entry_subject::~entry_subject()
{
    if (pid_ > 0)
    {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

int entry_subject::ask() const
{
    return call(address_, "entry.test", {"GET", "/healthz", {}, {}});
}

bool entry_subject::has_exited()
{
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
    {
        pid_ = 0;
        return true;
    }
    return false;
}

std::uint64_t entry_subject::max_bytes() const
{
    return entry_connections * entry_body_bytes + entry_base_bytes;
}

std::size_t entry_subject::max_descriptors() const
{
    return entry_connections * descriptors_per_connection + other_descriptors;
}

} // namespace pistachiopost::abuse
