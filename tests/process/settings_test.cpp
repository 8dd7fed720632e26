#include "process/settings_document.hpp"
#include "process/settings_reloader.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace pistachiopost;

namespace {

constexpr std::string_view valid_entry = R"({
  "role": "entry", "vm": "entry-1", "zone": "tamarin", "region": "mu-west",
  "listen": {"address": "127.0.0.1", "port": 8080},
  "table_service": {"address": "127.0.0.1", "port": 8081},
  "vm_list": {"address": "127.0.0.1", "port": 8082}
})";

/// Returns the validation errors of a document. Fails if the document is accepted.
std::vector<settings_diagnostic> diagnostics_of(std::string_view text)
{
    try
    {
        parse_settings(text);
    }
    catch (const settings_error& it)
    {
        return {it.diagnostics().begin(), it.diagnostics().end()};
    }
    cr_assert_fail("invalid settings were accepted");
    return {};
}

bool has(const std::vector<settings_diagnostic>& diagnostics, std::string_view path,
         std::string_view message)
{
    return std::any_of(
        diagnostics.begin(), diagnostics.end(), [&](const settings_diagnostic& it) {
            return it.path == path && it.message.find(message) != std::string::npos;
        });
}

} // namespace

Test(settings, valid_document_is_parsed_with_defaults)
{
    const auto it = std::get<entry_settings>(parse_settings(valid_entry));
    cr_assert_eq(it.listen.port, 8080);
    cr_assert_eq(it.subset_size, 24U);
}

Test(settings, document_with_several_errors_reports_all_of_them)
{
    const auto diagnostics = diagnostics_of(R"({
      "role": "entry", "vm": "", "zone": 3, "region": "mu-west",
      "listen": {"address": "localhost", "port": 70000},
      "table_service": {"address": "127.0.0.1", "port": 8081, "prot": 1},
      "limits": {"max_connections": 1.5}, "polcy": {}
    })");
    cr_assert(has(diagnostics, "/vm", "must be a non-empty string"));
    cr_assert(has(diagnostics, "/zone", "must be a non-empty string"));
    cr_assert(has(diagnostics, "/listen/address", "IPv4"));
    cr_assert(has(diagnostics, "/listen/port", "from 1 to 65535"));
    cr_assert(has(diagnostics, "/table_service/prot", "did you mean port"));
    cr_assert(has(diagnostics, "/vm_list", "is missing"));
    cr_assert(has(diagnostics, "/limits/max_connections", "whole number"));
    cr_assert(has(diagnostics, "/polcy", "did you mean policy"));
}

Test(settings, text_that_is_not_json_is_rejected)
{
    cr_assert(has(diagnostics_of("{"), "/", "is not valid JSON"));
}

Test(settings, gateway_endpoints_are_parsed_and_an_invalid_one_is_reported)
{
    const std::string text = R"({"role":"gateway","vm":"v","zone":"z","region":"r",
        "listen":"127.0.0.1:7100","readiness":"127.0.0.1:7101","metrics":"127.0.0.1:7102",
        "peers":"127.0.0.1:7103","store":"127.0.0.1:7104",
        "limits":{"repeat_ratio":0.2,"stop_grace_ms":8000}})";
    const auto read = parse_settings(text);
    cr_assert_eq(std::get<gateway_settings>(read).store.port, 7'104);
    auto invalid = text;
    invalid.replace(invalid.find("127.0.0.1:7103"), 14, "somewhere:7103");
    try
    {
        parse_settings(invalid);
        cr_assert_fail("an invalid endpoint was accepted");
    }
    catch (const settings_error& it)
    {
        cr_assert_eq(it.diagnostics().size(), 1U);
        cr_assert_eq(it.diagnostics()[0].path, "/peers");
    }
}

Test(settings, regions_of_zones_are_parsed_and_an_invalid_one_is_reported)
{
    const std::string text = R"({"role":"gateway","vm":"v","zone":"z","region":"r",
        "listen":"127.0.0.1:7100","readiness":"127.0.0.1:7101","metrics":"127.0.0.1:7102",
        "peers":"127.0.0.1:7103","store":"127.0.0.1:7104",
        "zones":{"z":"north","y":"south"}})";
    const auto read = std::get<gateway_settings>(parse_settings(text));
    cr_assert_eq(read.zone_regions.size(), 2U);
    cr_assert_eq(read.zone_regions.at("y"), "south");
    auto invalid = text;
    invalid.replace(invalid.find("\"south\""), 7, "7");
    cr_assert(has(diagnostics_of(invalid), "/zones/y", "must be a non-empty string"));
}

/// A limit on framing that is read wrongly refuses sound callers or bounds nothing.
Test(settings, framing_limits_of_a_gateway_are_read_and_have_defaults)
{
    const std::string text = R"({"role":"gateway","vm":"v","zone":"z","region":"r",
        "listen":"127.0.0.1:7100","readiness":"127.0.0.1:7101","metrics":"127.0.0.1:7102",
        "peers":"127.0.0.1:7103","store":"127.0.0.1:7104",
        "limits":{"max_chunk_line_bytes":100,"max_trailer_fields":3}})";
    const auto read = std::get<gateway_settings>(parse_settings(text)).framing;
    cr_assert_eq(read.max_chunk_line_bytes, 100U);
    cr_assert_eq(read.max_trailer_fields.value_or(0), 3U);
    cr_assert_eq(read.max_framing_bytes, 65'536U);
    cr_assert_not(framing_limits().max_trailer_fields.has_value());
}

namespace {

/// Settings file of a gateway, rewritten by the tests.
struct reload_fixture
{
    reload_fixture()
    {
        write(R"("limits":{"max_connections":10})");
        running = std::get<gateway_settings>(read_settings_file(path));
    }

    ~reload_fixture() { std::filesystem::remove(path); }

    void write(std::string_view more, std::string_view store = "127.0.0.1:7104") const
    {
        std::ofstream(path) << R"({"role":"gateway","vm":"v","zone":"z","region":"r",
            "listen":"127.0.0.1:7100","readiness":"127.0.0.1:7101",
            "metrics":"127.0.0.1:7102","peers":"127.0.0.1:7103","store":")"
                            << store << "\"," << more << "}";
    }

    std::string path = fmt::format("reload-{}.json", getpid());
    gateway_settings running;
};

} // namespace

Test(settings, changed_limits_are_applied_and_a_changed_endpoint_is_reported)
{
    const reload_fixture it;
    auto running = it.running;
    it.write(R"("log_level":"debug","limits":{"max_connections":20})", "127.0.0.1:9000");
    const auto read = std::get<gateway_settings>(read_settings_file(it.path));
    const auto change = apply_reloadable(running, read);
    cr_assert_eq(running.max_connections, 20U);
    cr_assert_eq(running.self.min_log_level, log_level::debug);
    cr_assert_eq(running.store.port, 7'104);
    cr_assert_eq(change.applied.size(), 2U);
    cr_assert_eq(change.restart_required.size(), 1U);
    cr_assert(change.restart_required.front() == "/store");
}

Test(settings, changed_file_without_a_signal_is_applied_once)
{
    const reload_fixture it;
    int calls = 0;
    settings_reloader reload(it.path, it.running, [&](const auto&) { ++calls; });
    reload.poll(false);
    cr_assert_eq(calls, 0);
    it.write(R"("limits":{"max_connections":2000})");
    reload.poll(false);
    reload.poll(false);
    cr_assert_eq(calls, 1);
}

Test(settings, invalid_changed_file_is_not_applied)
{
    const reload_fixture it;
    int calls = 0;
    settings_reloader reload(it.path, it.running, [&](const auto&) { ++calls; });
    it.write(R"("limits":{"max_connections":"many"})");
    reload.poll(true);
    cr_assert_eq(calls, 0);
}
