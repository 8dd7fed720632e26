/// \file
/// Runs one attack on a gateway process and checks that the process survives it within
/// its memory and descriptors: abuse --attack=NAME --product=FILE --work=FOLDER.
#include "abuse/attacks.hpp"
#include "abuse/process_usage.hpp"
#include "abuse/subjects.hpp"

#include "process/task.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <vector>

DEFINE_string(product, "", "path of the pistachiopost program");
DEFINE_string(work, "", "folder for settings and logs");
DEFINE_string(attack, "", "name of the attack");
DEFINE_string(role, "gateway", "gateway or entry");
DEFINE_uint32(memory_mb, 100, "limits.memory_mb of the gateway");

namespace pistachiopost::abuse {
namespace {

constexpr milliseconds attack_length{9'000};
// An ordinary caller repeats a request that was refused as not run.
constexpr int ordinary_attempts = 10;
constexpr milliseconds ordinary_pause{1'000};

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

void require(bool condition, std::string text, std::vector<std::string>& violations)
{
    if (!condition)
    {
        violations.push_back(std::move(text));
    }
}

template <attack_subject Subject>
int run(const attack& it, Subject& subject)
{
    constexpr int ok = 200;
    usage_sampler sampler(subject.pid(), subject.address());
    run_crowd(it,
              {subject.address(), Subject::path_prefix, steady::now() + attack_length});

    std::vector<std::string> violations;
    int status = 0;
    for (int n = 0; n < ordinary_attempts && status != ok; ++n)
    {
        wait_readable(-1, -1,
                      steady::now() + (n == 0 ? milliseconds{0} : ordinary_pause));
        status = subject.ask();
    }
    const auto peaks = sampler.stop();
    require(!subject.has_exited(), "the process ended", violations);
    require(status == ok,
            fmt::format("an ordinary request got status {} afterwards", status),
            violations);
    const auto limit = subject.max_bytes();
    require(peaks.resident_bytes <= limit, "resident bytes over the settings' memory",
            violations);
    require(peaks.together_bytes <= limit,
            "resident and unread bytes over the settings' memory", violations);
    require(peaks.descriptors <= subject.max_descriptors(),
            "more descriptors than limits.max_connections allows", violations);
    fmt::print("{}: peaks {} MB resident, {} MB unread, {} MB together of {}, "
               "{} descriptors; status {} afterwards\n",
               it.name, peaks.resident_bytes >> 20U, peaks.unread_bytes >> 20U,
               peaks.together_bytes >> 20U, limit >> 20U, peaks.descriptors, status);
    for (const auto& text : violations)
    {
        fmt::print("  broken: {}\n", text);
    }
    return violations.empty() ? 0 : 1;
}

int run_at_role(const attack& it)
{
    if (FLAGS_role == "entry")
    {
        entry_subject subject(FLAGS_product, FLAGS_work);
        return run(it, subject);
    }
    gateway_subject subject(FLAGS_product, FLAGS_work, FLAGS_memory_mb);
    return run(it, subject);
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
        return pistachiopost::abuse::run_at_role(*it);
    }
    catch (const std::exception& it)
    {
        fmt::print(stderr, "abuse: {}\n", it.what());
        return 1;
    }
}
