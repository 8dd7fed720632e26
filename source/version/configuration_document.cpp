#include "version/configuration_document.hpp"

#include "process/json_reader.hpp"
#include "version/version_error.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <array>

namespace pistachiopost {

namespace {

constexpr number_range weight_range{1, 1'000'000};
constexpr number_range token_range{1, 10'000'000};

void read_customers(json_reader& root, configuration_builder& builder)
{
    auto all = root.object("customers", false);
    for (const auto& name : all.field_names())
    {
        auto in = all.object(name, true);
        const auto weight = in.integer("weight", weight_range, 1);
        builder.add_customer({name, static_cast<std::uint32_t>(weight)});
        auto keys = in.object("keys", false);
        for (const auto& digest : keys.field_names())
        {
            builder.add_key(digest, name);
        }
        in.report_unknown_fields();
    }
}

void read_models(json_reader& root, configuration_builder& builder)
{
    auto all = root.object("models", false);
    for (const auto& name : all.field_names())
    {
        auto in = all.object(name, true);
        model it;
        it.name = name;
        it.max_prompt_tokens =
            in.integer("max_prompt_tokens", token_range, it.max_prompt_tokens);
        it.max_output_tokens = static_cast<std::uint32_t>(
            in.integer("max_output_tokens", token_range, it.max_output_tokens));
        in.report_unknown_fields();
        builder.add_model(std::move(it));
    }
}

void read_services(json_reader& root, configuration_builder& builder)
{
    auto all = root.object("services", false);
    for (const auto& name : all.field_names())
    {
        auto in = all.object(name, true);
        builder.add_service({name, in.boolean("repeatable", true)});
        in.report_unknown_fields();
    }
}

} // namespace

std::shared_ptr<const configuration> parse_configuration(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
    {
        throw version_error("the configuration is not valid JSON");
    }
    std::vector<settings_diagnostic> faults;
    json_reader root(document, "", faults);
    configuration_builder builder(root.integer("version", {1, 1e15}));
    read_customers(root, builder);
    read_models(root, builder);
    read_services(root, builder);
    auto drained = root.object("drained", false);
    for (const auto& vm : drained.field_names())
    {
        builder.drain(vm);
    }
    root.report_unknown_fields();
    if (!faults.empty())
    {
        throw version_error(settings_error(std::move(faults)).what());
    }
    return builder.build();
}

std::string key_digest(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &n, EVP_sha256(), nullptr);
    std::string text;
    for (unsigned int i = 0; i < n; ++i)
    {
        text += fmt::format("{:02x}", digest[i]);
    }
    return text;
}

} // namespace pistachiopost
