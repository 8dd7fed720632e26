#include "version/configuration.hpp"

#include "version/version_error.hpp"

#include <utility>

namespace pistachiopost {

namespace {

template <typename Map>
const typename Map::mapped_type* find_in(const Map& map, std::string_view name)
{
    const auto it = map.find(name);
    return it == map.end() ? nullptr : &it->second;
}

template <typename Map>
void insert_new(Map& map, typename Map::mapped_type value, std::string_view what)
{
    const auto name = value.name;
    if (name.empty())
    {
        throw version_error("a " + std::string(what) + " has an empty name");
    }
    if (!map.emplace(name, std::move(value)).second)
    {
        throw version_error("the " + std::string(what) + " " + name +
                            " is defined twice");
    }
}

} // namespace

const customer* configuration::customer_by_key(std::string_view digest) const
{
    const auto it = keys_.find(std::string(digest));
    return it == keys_.end() ? nullptr : it->second;
}

const model* configuration::find_model(std::string_view name) const
{
    return find_in(models_, name);
}

const service* configuration::find_service(std::string_view name) const
{
    return find_in(services_, name);
}

configuration_builder::configuration_builder(std::uint64_t version)
    : value_(std::make_shared<configuration>())
{
    value_->version_ = version;
}

configuration_builder& configuration_builder::add_customer(customer value)
{
    if (value.weight == 0)
    {
        throw version_error("the customer " + value.name +
                            " has weight 0; the minimum is 1");
    }
    insert_new(value_->customers_, std::move(value), "customer");
    return *this;
}

configuration_builder& configuration_builder::add_key(std::string_view digest,
                                                      std::string_view customer_name)
{
    const auto* owner = find_in(value_->customers_, customer_name);
    if (owner == nullptr)
    {
        throw version_error("a key refers to the unknown customer " +
                            std::string(customer_name));
    }
    if (!value_->keys_.emplace(digest, owner).second)
    {
        throw version_error("a key of the customer " + owner->name + " is defined twice");
    }
    return *this;
}

configuration_builder& configuration_builder::add_model(model value)
{
    insert_new(value_->models_, std::move(value), "model");
    return *this;
}

configuration_builder& configuration_builder::add_service(service value)
{
    insert_new(value_->services_, std::move(value), "service");
    return *this;
}

configuration_builder& configuration_builder::drain(std::string_view vm)
{
    value_->drained_.emplace(vm);
    return *this;
}

} // namespace pistachiopost
