/// \file
/// Immutable configuration version: customers, models and services.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pistachiopost {

/// A customer that shares the backend servers with others.
struct customer
{
    std::string name;
    std::uint32_t weight = 1; ///< Share of capacity relative to other customers.
};

/// A model that customers may call.
struct model
{
    std::string name;
    std::uint64_t max_prompt_tokens = 1'000'000;
    std::uint32_t max_output_tokens = 4'096;
};

/// A service without a model that customers may call.
struct service
{
    std::string name;
    bool repeatable = true; ///< False if its calls may run at most once.
};

/// The confirmed configuration as of one version. Each request holds a shared pointer to
/// the version that it runs under.
class configuration
{
public:
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// Returns the customer whose key has the given digest, or null if there is none.
    [[nodiscard]] const customer* customer_by_key(std::string_view digest) const;
    /// Returns the model, or null if there is none.
    [[nodiscard]] const model* find_model(std::string_view name) const;
    /// Returns the service, or null if there is none.
    [[nodiscard]] const service* find_service(std::string_view name) const;
    /// Returns all models by name.
    [[nodiscard]] const std::map<std::string, model, std::less<>>& models() const
    {
        return models_;
    }
    /// Returns whether the backend server on `vm` is marked as drained.
    [[nodiscard]] bool is_drained(std::string_view vm) const
    {
        return drained_.contains(vm);
    }
    /// Returns the VMs whose backend servers are marked as drained.
    [[nodiscard]] const std::set<std::string, std::less<>>& drained() const
    {
        return drained_;
    }
    [[nodiscard]] std::size_t customer_count() const { return customers_.size(); }

private:
    friend class configuration_builder;

    std::uint64_t version_ = 0;
    std::map<std::string, customer, std::less<>> customers_;
    std::unordered_map<std::string, const customer*> keys_;
    std::map<std::string, model, std::less<>> models_;
    std::map<std::string, service, std::less<>> services_;
    std::set<std::string, std::less<>> drained_;
};

/// Builds a configuration version.
class configuration_builder
{
public:
    explicit configuration_builder(std::uint64_t version);
    /// Adds a customer. Throws version_error if the name exists or the weight is 0.
    configuration_builder& add_customer(customer value);
    /// Assigns the key with `digest` to a customer added before. Throws version_error if
    /// the customer is unknown or the key exists.
    configuration_builder& add_key(std::string_view digest,
                                   std::string_view customer_name);
    /// Adds a model. Throws version_error if the name exists.
    configuration_builder& add_model(model value);
    /// Adds a service. Throws version_error if the name exists.
    configuration_builder& add_service(service value);
    /// Marks the backend server on `vm` as drained.
    configuration_builder& drain(std::string_view vm);
    [[nodiscard]] std::shared_ptr<const configuration> build() const { return value_; }

private:
    std::shared_ptr<configuration> value_;
};

} // namespace pistachiopost
