#include "process/operator_commands.hpp"

#include "connection/plan_table.hpp"
#include "connection/vm_list_client.hpp"
#include "process/drain_effects.hpp"
#include "process/json_reader.hpp"
#include "version/configuration_document.hpp"
#include "version/plan_document.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <random>

namespace pistachiopost {

namespace {

using namespace std::string_view_literals;

constexpr milliseconds call_timeout{3'000};
constexpr int exit_ok = 0;
constexpr int exit_failed = 1;

/// A command on one section of the configuration.
struct section_command
{
    std::string_view word;
    std::string_view section;
};

constexpr std::array section_commands{
    section_command{"customer", "customers"}, section_command{"share", "customers"},
    section_command{"model", "models"}, section_command{"service", "services"},
    section_command{"backend", "drained"}};
constexpr std::array general_commands{"plan"sv, "history"sv, "status"sv};

std::string_view section_of(std::string_view word)
{
    const auto it =
        std::find_if(section_commands.begin(), section_commands.end(),
                     [word](const section_command& one) { return one.word == word; });
    return it == section_commands.end() ? std::string_view{} : it->section;
}

endpoint parse_endpoint(std::string_view text, std::string_view flag)
{
    const auto colon = text.find(':');
    endpoint it;
    if (colon != std::string_view::npos)
    {
        it.address = text.substr(0, colon);
        const auto port = text.substr(colon + 1);
        std::from_chars(port.data(), port.data() + port.size(), it.port);
    }
    if (it.address.empty() || it.port == 0)
    {
        throw operator_error(fmt::format("--{} must be ADDRESS:PORT", flag));
    }
    return it;
}

intent_field parse_field(std::string_view word)
{
    const auto separator = word.find('=');
    if (separator == std::string_view::npos || separator == 0)
    {
        throw operator_error(
            fmt::format("invalid argument {}; expected FIELD=VALUE", word));
    }
    return {std::string(word.substr(0, separator)),
            std::string(word.substr(separator + 1))};
}

std::string new_plan_id()
{
    std::random_device random;
    return fmt::format("p-{:08x}", random());
}

void print_plan(const plan& it, const operator_options& options)
{
    if (options.json)
    {
        fmt::print("{}\n", format_plan(it));
        return;
    }
    fmt::print("plan {} ({}), based on version {}, by {}\n  {} {} in {}\n", it.id,
               to_string(it.state), it.base_version, it.author,
               to_string(it.change.action), it.change.item, it.change.section);
    for (const auto& line : it.effects)
    {
        fmt::print("  {}\n", line);
    }
    if (it.state == plan_state::confirmed)
    {
        fmt::print("  version {}, confirmed by {} at {}: {}\n", it.version,
                   it.confirmed_by, it.confirmed_at, it.reason);
    }
}

/// Runs one operator command.
class operator_command
{
public:
    operator_command(const operator_options& options, std::int64_t now)
        : options_(options), now_(now),
          plans_(parse_endpoint(options.table, "table"), call_timeout)
    {
    }

    int change(std::string_view section, std::span<const std::string> words)
    {
        require_operator_name();
        plan it;
        it.change = read_intent(section, words);
        it.id = new_plan_id();
        it.author = options_.name;
        compute_effects(it);
        plans_.add(it);
        print_plan(it, options_);
        if (options_.confirm_at_once)
        {
            return confirm(it.id);
        }
        if (!options_.json)
        {
            fmt::print("nothing has changed yet; to apply the plan: plan confirm {}\n",
                       it.id);
        }
        return exit_ok;
    }

    int confirm(const std::string& id)
    {
        require_operator_name();
        const auto result =
            confirm_plan(plans_, id, {options_.name, options_.reason, now_});
        switch (result.outcome)
        {
        case confirm_outcome::in_force:
            fmt::print("plan {} is in force as version {}\n", id, result.version);
            return exit_ok;
        case confirm_outcome::overtaken:
            fmt::print(stderr,
                       "plan {} was overtaken: plan {} became version {}; to apply it to "
                       "the newest version: plan rebase {}\n",
                       id, result.overtaken_by.empty() ? "unknown" : result.overtaken_by,
                       result.version, id);
            return exit_conflict;
        case confirm_outcome::unknown_plan:
            throw operator_error(fmt::format("there is no plan {}; see plan list", id));
        case confirm_outcome::discarded:
            throw operator_error(fmt::format("plan {} was discarded", id));
        case confirm_outcome::unavailable:
            break;
        }
        throw operator_error(
            "the table service does not answer, so it is not known whether "
            "the plan is in force; repeat the same command, that is safe");
    }

    /// Replaces a plan by a new one with the same intent, based on the newest version.
    int rebase(const std::string& id)
    {
        require_operator_name();
        auto it = require_plan(id);
        if (it.state == plan_state::confirmed)
        {
            throw operator_error(fmt::format("plan {} is already in force", id));
        }
        plans_.discard(it);
        it.id = new_plan_id();
        it.state = plan_state::open;
        it.author = options_.name;
        compute_effects(it);
        plans_.add(it);
        print_plan(it, options_);
        return exit_ok;
    }

    int discard(const std::string& id)
    {
        const auto it = require_plan(id);
        if (!plans_.discard(it))
        {
            throw operator_error(fmt::format("plan {} is not open", id));
        }
        fmt::print("plan {} is discarded\n", id);
        return exit_ok;
    }

    int show_plan(const std::string& id)
    {
        print_plan(require_plan(id), options_);
        return exit_ok;
    }

    int list_plans(bool confirmed_only)
    {
        for (const auto& id : plans_.newest())
        {
            const auto it = plans_.find(id);
            if (it && (!confirmed_only || it->state == plan_state::confirmed))
            {
                print_plan(*it, options_);
            }
        }
        return exit_ok;
    }

    int show_items(std::string_view section, const std::string& item)
    {
        const auto text =
            describe_section(plans_.document(plans_.head().version), section, item);
        if (text.empty() && !item.empty())
        {
            throw operator_error(fmt::format("{} is not in {}", item, section));
        }
        fmt::print("{}", text);
        return exit_ok;
    }

    /// Prints the newest version and the version in force on each entry.
    int status()
    {
        const auto head = plans_.head();
        fmt::print("newest version: {} (plan {})\n", head.version,
                   head.plan_id.empty() ? "none" : head.plan_id);
        bool all_current = true;
        std::string_view rest = options_.entries;
        while (!rest.empty())
        {
            const auto one = rest.substr(0, rest.find(','));
            rest.remove_prefix(std::min(rest.size(), one.size() + 1));
            all_current = print_entry(one, head.version) && all_current;
        }
        return all_current ? exit_ok : exit_failed;
    }

private:
    static constexpr std::string_view version_metric =
        "\npistachiopost_configuration_version ";

    bool print_entry(std::string_view address, std::uint64_t newest)
    {
        try
        {
            const auto text =
                http_client(parse_endpoint(address, "entries"), call_timeout)
                    .get("/metrics")
                    .body;
            const auto at = text.find(version_metric);
            std::uint64_t version = 0;
            if (at != std::string::npos)
            {
                const auto* first = text.data() + at + version_metric.size();
                std::from_chars(first, text.data() + text.size(), version);
            }
            fmt::print("{}: version {}{}\n", address, version,
                       version < newest ? ", lags behind" : "");
            return version >= newest;
        }
        catch (const connection_error& it)
        {
            fmt::print("{}: does not answer: {}\n", address, it.what());
            return false;
        }
    }

    void require_operator_name() const
    {
        if (options_.name.empty())
        {
            throw operator_error("--operator=NAME is required");
        }
    }

    plan require_plan(const std::string& id)
    {
        auto it = plans_.find(id);
        if (!it)
        {
            throw operator_error(fmt::format("there is no plan {}; see plan list", id));
        }
        return std::move(*it);
    }

    static intent read_intent(std::string_view section,
                              std::span<const std::string> words)
    {
        constexpr std::array verbs{"add"sv, "set"sv, "remove"sv, "drain"sv, "undrain"sv};
        intent it;
        it.section = section;
        const auto& verb = words[1];
        const bool is_drained_section = section == "drained";
        if (verb == (is_drained_section ? "drain" : "add"))
        {
            it.action = intent_action::add;
        }
        else if (verb == (is_drained_section ? "undrain" : "remove"))
        {
            it.action = intent_action::remove;
        }
        else if (!is_drained_section && verb == "set")
        {
            it.action = intent_action::set;
        }
        else
        {
            const auto suggestion = nearest_match(verb, verbs);
            throw operator_error(fmt::format(
                "{} has no subcommand {}{}", words[0], verb,
                suggestion.empty() ? "" : fmt::format("; did you mean {}?", suggestion)));
        }
        if (words.size() < 3)
        {
            throw operator_error(fmt::format("{} {} requires a name", words[0], verb));
        }
        it.item = words[2];
        for (const auto& word : words.subspan(3))
        {
            it.fields.push_back(parse_field(word));
        }
        return it;
    }

    /// Bases the plan on the newest version and computes its effects.
    void compute_effects(plan& it)
    {
        it.base_version = plans_.head().version;
        const auto document = plans_.document(it.base_version);
        apply_intent(document, it.change,
                     it.base_version + 1); // throws if not applicable
        it.effects = describe_shares(document, it.change);
        const bool is_drain =
            it.change.section == "drained" && it.change.action == intent_action::add;
        if (is_drain)
        {
            it.effects = describe_drain(it.change.item, document);
        }
    }

    std::vector<std::string> describe_drain(const std::string& vm,
                                            const std::string& document)
    {
        vm_list_client list(parse_endpoint(options_.vms, "vms"), call_timeout);
        const auto servers = list.fetch();
        const auto version = parse_configuration(document);
        const auto effects = compute_drain_effects(
            servers ? *servers : std::vector<backend_server>{}, version->drained(), vm);
        if (!effects)
        {
            throw operator_error(fmt::format("the VM list has no backend server {}", vm));
        }
        if (effects->after == 0 && !(options_.force && !options_.reason.empty()))
        {
            throw operator_error(fmt::format("{} is the last backend server for {}; to "
                                             "drain it anyway, pass --force and "
                                             "--reason=TEXT",
                                             vm, effects->serves));
        }
        return effects->describe();
    }

    const operator_options& options_;
    std::int64_t now_;
    plan_table plans_;
};

int run_plan_command(operator_command& command, std::span<const std::string> words)
{
    const auto verb = words.size() > 1 ? words[1] : std::string();
    if (verb == "list")
    {
        return command.list_plans(false);
    }
    if (words.size() != 3)
    {
        throw operator_error("usage: plan list | plan show|confirm|discard|rebase ID");
    }
    if (verb == "show")
    {
        return command.show_plan(words[2]);
    }
    if (verb == "confirm")
    {
        return command.confirm(words[2]);
    }
    if (verb == "discard")
    {
        return command.discard(words[2]);
    }
    if (verb == "rebase")
    {
        return command.rebase(words[2]);
    }
    throw operator_error(fmt::format("plan has no subcommand {}; see plan --help", verb));
}

} // namespace

bool is_operator_command(std::string_view word)
{
    return !section_of(word).empty() ||
           std::find(general_commands.begin(), general_commands.end(), word) !=
               general_commands.end();
}

int run_operator_command(std::span<const std::string> words,
                         const operator_options& options, std::int64_t now)
{
    operator_command command(options, now);
    if (words[0] == "plan")
    {
        return run_plan_command(command, words);
    }
    if (words[0] == "history")
    {
        return command.list_plans(true);
    }
    if (words[0] == "status")
    {
        return command.status();
    }
    const auto section = section_of(words[0]);
    const auto verb = words.size() > 1 ? words[1] : std::string();
    if (verb == "list")
    {
        return command.show_items(section, "");
    }
    if (verb == "show" && words.size() == 3)
    {
        return command.show_items(section, words[2]);
    }
    if (words.size() < 2)
    {
        throw operator_error(
            fmt::format("usage: {} add|set|remove|list|show ...", words[0]));
    }
    return command.change(section, words);
}

} // namespace pistachiopost
