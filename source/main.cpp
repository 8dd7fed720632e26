/// \file
/// Command line of pistachiopost. The first argument selects a role or a command.
#include "connection/connection_error.hpp"
#include "platform/adapter.hpp"
#include "process/agent_process.hpp"
#include "process/entry_process.hpp"
#include "process/gateway_process.hpp"
#include "process/json_reader.hpp"
#include "process/metrics_sample.hpp"
#include "process/operator_commands.hpp"
#include "process/report_command.hpp"
#include "process/settings_document.hpp"
#include "process/task.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

DEFINE_string(settings, "", "path of the JSON settings file of this process");
DEFINE_string(table, "", "ADDRESS:PORT of the table service");
DEFINE_string(vms, "", "ADDRESS:PORT of the VM list");
DEFINE_string(entries, "", "comma-separated list of entries, each ADDRESS:PORT");
DEFINE_string(operator, "", "name of the operator, recorded with each plan");
DEFINE_string(reason, "", "reason for the change, recorded with the plan");
DEFINE_bool(force, false, "allow a drain that leaves no backend server available");
DEFINE_bool(yes, false, "confirm the plan without a separate confirm command");
DEFINE_string(output, "text", "output format: text or json; html for reports only");
DEFINE_double(on_time, 0.95, "objective: share of requests that finish on time");
DEFINE_double(served, 0.99, "objective: share of requests that are answered");
DEFINE_double(window, 60, "length of a report window, in seconds");

namespace pistachiopost {
namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

constexpr std::string_view program_version = "0.1.0";

struct command
{
    std::string_view name;
    std::string_view summary;
    std::string_view help;
};

constexpr std::string_view operator_help =
    "usage: pistachiopost customer|model|service add|set NAME [FIELD=VALUE ...]\n"
    "       pistachiopost customer|model|service remove|show NAME, or list\n"
    "       pistachiopost backend drain|undrain VM\n"
    "       pistachiopost plan list, or show|confirm|discard|rebase ID\n"
    "       pistachiopost history, status\n"
    "flags: --table=ADDRESS:PORT (always), --operator=NAME (to change), --reason=TEXT,\n"
    "       --vms=ADDRESS:PORT (drain), --force, --yes, --entries=LIST (status),\n"
    "       --output=text|json\n"
    "Each change creates a plan, which takes effect when it is confirmed.\n"
    "exit codes: 0 success, 1 failure, 2 wrong usage, 3 overtaken by another plan\n";

constexpr std::array commands{
    command{"entry", "serve callers on an entry VM",
            "usage: pistachiopost entry --settings FILE\n"
            "Runs until SIGTERM, then finishes requests in progress and exits.\n"},
    command{"agent", "run beside one backend server",
            "usage: pistachiopost agent --settings FILE\n"
            "Runs until SIGTERM, then finishes queued and running work and exits.\n"},
    command{"gateway", "serve callers on an entry VM of the users' platform",
            "usage: pistachiopost gateway [--settings FILE]\n"
            "Without --settings, the path is taken from the platform's environment "
            "variable.\n"
            "Runs until SIGTERM, then finishes requests in progress and exits.\n"},
    command{"check-settings", "check a settings file and start nothing",
            "usage: pistachiopost check-settings FILE\n"
            "Prints every error with its JSON path. Exit code 0: valid, 1: invalid.\n"},
    command{"customer", "customers: add, set, remove, list, show", operator_help},
    command{"share", "shares of customers: set NAME weight=N", operator_help},
    command{"model", "models: add, set, remove, list, show", operator_help},
    command{"service", "plain services: add, set, remove, list, show", operator_help},
    command{"backend", "backend servers: drain, undrain, list", operator_help},
    command{"plan", "plans: list, show, confirm, discard, rebase", operator_help},
    command{"history", "confirmed plans: who, when, why", operator_help},
    command{
        "report", "burn: how fast error budgets are used up",
        "usage: pistachiopost report burn FILE...\n"
        "Each FILE contains one or more responses to GET /metrics from gateways.\n"
        "flags: --output=text|json|html, --window=SECONDS (60), --on_time=SHARE (0.95),\n"
        "       --served=SHARE (0.99)\n"
        "exit codes: 0 success, 1 a file has another format, 2 wrong usage\n"},
    command{"status", "the version in force on each entry", operator_help},
};

std::string overview()
{
    std::string text = "usage: pistachiopost COMMAND [FLAGS]\n\ncommands:\n";
    for (const auto& it : commands)
    {
        text += fmt::format("  {:16} {}\n", it.name, it.summary);
    }
    return text + "\n`pistachiopost COMMAND --help` explains a command.\n"
                  "exit codes: 0 success, 1 failure, 2 wrong usage\n";
}

int usage_error(std::string_view message)
{
    fmt::print(stderr, "pistachiopost: {}\n", message);
    return exit_usage;
}

int reject_command(std::string_view word)
{
    std::array<std::string_view, commands.size()> names;
    for (std::size_t i = 0; i < commands.size(); ++i)
    {
        names[i] = commands[i].name;
    }
    const auto suggestion = nearest_match(word, names);
    if (suggestion.empty())
    {
        return usage_error(
            fmt::format("unknown command {}; see pistachiopost --help", word));
    }
    return usage_error(
        fmt::format("unknown command {}; did you mean {}?", word, suggestion));
}

/// Returns an error message for the first unknown flag, or an empty string. Runs before
/// gflags, which exits the process on an unknown flag.
std::string find_flag_error(int argc, char** argv)
{
    using namespace std::string_view_literals;
    constexpr std::array known{
        "on_time"sv, "served"sv,   "window"sv, "settings"sv, "help"sv, "table"sv, "vms"sv,
        "entries"sv, "operator"sv, "reason"sv, "force"sv,    "yes"sv,  "output"sv};
    for (int i = 2; i < argc; ++i)
    {
        std::string_view word = argv[i];
        if (!word.starts_with("-"))
        {
            continue;
        }
        word.remove_prefix(word.starts_with("--") ? 2 : 1);
        const auto name = word.substr(0, word.find('='));
        if (std::find(known.begin(), known.end(), name) != known.end())
        {
            continue;
        }
        const auto suggestion = nearest_match(name, known);
        return suggestion.empty() ? fmt::format("unknown flag --{}", name)
                                  : fmt::format("unknown flag --{}; did you mean --{}?",
                                                name, suggestion);
    }
    return {};
}

const identity& identity_of(const process_settings& it)
{
    return std::visit([](const auto& role) -> const identity& { return role.self; }, it);
}

int check_settings(const std::string& path)
{
    const auto checked = read_settings_file(path);
    const auto& self = identity_of(checked);
    fmt::print("{}: usable, {} in {}\n", path, self.vm, self.zone);
    return exit_ok;
}

std::string_view role_of(const process_settings& it)
{
    constexpr std::array<std::string_view, std::variant_size_v<process_settings>> names{
        "entry", "agent", "gateway"};
    return names[it.index()];
}

int run_role(std::string_view role)
{
    const auto path = FLAGS_settings.empty() && role == "gateway"
                          ? platform::settings_path()
                          : FLAGS_settings;
    if (path.empty())
    {
        return usage_error(fmt::format("{} needs --settings FILE", role));
    }
    const auto checked = read_settings_file(path);
    if (role != role_of(checked))
    {
        return usage_error(
            fmt::format("the file is not for the role {}; see its field role", role));
    }
    const auto& self = identity_of(checked);
    block_stop_signals();
    start_logging(self.vm, self.zone, self.min_log_level);
    if (const auto* it = std::get_if<entry_settings>(&checked))
    {
        return run_entry(*it);
    }
    if (const auto* it = std::get_if<agent_settings>(&checked))
    {
        return run_agent(*it);
    }
    return run_gateway<platform::adapter>(std::get<gateway_settings>(checked), path);
}

int run_operator(const std::vector<std::string>& words)
{
    if (FLAGS_output != "text" && FLAGS_output != "json")
    {
        return usage_error("--output must be text or json");
    }
    operator_options options;
    options.table = FLAGS_table;
    options.vms = FLAGS_vms;
    options.entries = FLAGS_entries;
    options.name = FLAGS_operator;
    options.reason = FLAGS_reason;
    options.force = FLAGS_force;
    options.confirm_at_once = FLAGS_yes;
    options.json = FLAGS_output == "json";
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    try
    {
        return run_operator_command(words, options,
                                    std::chrono::duration_cast<seconds>(now).count());
    }
    catch (const operator_error& it)
    {
        return usage_error(it.what());
    }
}

int run_report_command(const std::vector<std::string>& words)
{
    if (FLAGS_output != "text" && FLAGS_output != "json" && FLAGS_output != "html")
    {
        return usage_error("--output must be text, json or html");
    }
    try
    {
        return run_report(words,
                          {FLAGS_on_time, FLAGS_served, FLAGS_window, FLAGS_output});
    }
    catch (const report_error& it)
    {
        return usage_error(it.what());
    }
}

int run_command(const command& chosen, int argc, char** argv)
{
    for (int i = 2; i < argc; ++i)
    {
        if (std::string_view(argv[i]) == "--help")
        {
            fmt::print("{}", chosen.help);
            return exit_ok;
        }
    }
    if (const auto message = find_flag_error(argc, argv); !message.empty())
    {
        return usage_error(message);
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (chosen.name == "check-settings")
    {
        return argc == 3 ? check_settings(argv[2])
                         : usage_error("check-settings needs one FILE");
    }
    if (chosen.name == "report")
    {
        return run_report_command({argv + 1, argv + argc});
    }
    if (is_operator_command(chosen.name))
    {
        return run_operator({argv + 1, argv + argc});
    }
    if (argc > 2)
    {
        return usage_error(fmt::format("unexpected word {}", argv[2]));
    }
    return run_role(chosen.name);
}

int run(int argc, char** argv)
{
    if (argc < 2)
    {
        fmt::print(stderr, "{}", overview());
        return exit_usage;
    }
    const std::string_view word = argv[1];
    if (word == "--help" || word == "help")
    {
        fmt::print("{}", overview());
        return exit_ok;
    }
    if (word == "--version")
    {
        fmt::print("pistachiopost {}\n", program_version);
        return exit_ok;
    }
    for (const auto& it : commands)
    {
        if (it.name == word)
        {
            return run_command(it, argc, argv);
        }
    }
    return reject_command(word);
}

} // namespace
} // namespace pistachiopost

int main(int argc, char** argv)
{
    try
    {
        return pistachiopost::run(argc, argv);
    }
    catch (const pistachiopost::settings_error& it)
    {
        fmt::print(stderr, "settings refused:\n{}\n", it.what());
    }
    catch (const std::exception& it)
    {
        fmt::print(stderr, "pistachiopost: {}\n", it.what());
    }
    return 1;
}
