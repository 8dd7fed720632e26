/// The template from which the platform renders the settings of a gateway.
#include "process/settings_document.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>

using namespace pistachiopost;

namespace {

/// Values of the platform by name, as JSON.
using template_values = std::map<std::string, std::string>;

/// Renders the two forms that the template uses: `{{name|json}}`, and a section
/// `{{#name}} .. {{.|json}} .. {{/name}}` that is left out if the value is missing.
std::string render(std::string text, const template_values& values)
{
    const std::regex section(R"(\{\{#([a-z0-9.-]+)\}\}([^#]*?)\{\{/\1\}\})");
    std::smatch found;
    while (std::regex_search(text, found, section))
    {
        const auto value = values.find(found[1]);
        const auto body =
            value == values.end()
                ? std::string()
                : std::regex_replace(found[2].str(), std::regex(R"(\{\{\.\|json\}\})"),
                                     value->second);
        text = found.prefix().str() + body + found.suffix().str();
    }
    const std::regex field(R"(\{\{([a-z0-9.-]+)(\|json)?\}\})");
    while (std::regex_search(text, found, field))
    {
        auto value = values.at(found[1]);
        if (!found[2].matched) // within a string
        {
            value.erase(std::remove(value.begin(), value.end(), '"'), value.end());
        }
        text = found.prefix().str() + value + found.suffix().str();
    }
    return text;
}

gateway_settings render_settings(const template_values& more)
{
    template_values values{{"node-name", R"("v-1")"},
                           {"zone", R"("z")"},
                           {"region", R"("r")"},
                           {"ip", R"("127.0.0.1")"},
                           {"internal-port-range.0", "7200"},
                           {"listen.frontend", R"("127.0.0.1:7100")"},
                           {"listen.readiness", R"("127.0.0.1:7101")"},
                           {"platform.address", R"("127.0.0.1:7102")"},
                           {"limits.cpu-share", "0.5"},
                           {"limits.memory-mb", "512"},
                           {"bounds.retry-budget-ratio", "0.2"},
                           {"bounds.retry-slack", "100"},
                           {"bounds.budget-window-s", "10"},
                           {"bounds.grace-s", "8"}};
    values.insert(more.begin(), more.end());
    std::ifstream file(DEPLOY_FOLDER "/gateway.json");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return std::get<gateway_settings>(parse_settings(render(text, values)));
}

} // namespace

// Guards against a gateway that does not start where the platform states no cold bounds.
Test(settings_template, settings_without_cold_bounds_are_valid)
{
    cr_assert(render_settings({}).cold == cold_bound());
}

// Guards against bounds that are lost between the platform and the gateway.
Test(settings_template, cold_bounds_reach_the_gateway)
{
    const auto both =
        render_settings({{"bounds.cold-overage", "1.5"}, {"bounds.cold-slack", "5"}});
    cr_assert_eq(both.cold.overage, 1.5);
    cr_assert_eq(both.cold.slack, 5);
    cr_assert_eq(render_settings({{"bounds.cold-slack", "5"}}).cold.slack, 5);
    cr_assert_eq(render_settings({{"bounds.cold-overage", "2"}}).cold.overage, 2);
}
