/// \file
/// The processes that are attacked, with settings that bound their memory.
#pragma once

#include "abuse/hostile_backend.hpp"
#include "soak/deployment.hpp"

#include <sys/types.h>

#include <concepts>
#include <cstdint>
#include <filesystem>
#include <string_view>

namespace pistachiopost::abuse {

/// A process under attack.
template <typename Subject>
concept attack_subject = requires(Subject it, const Subject fixed)
{
    {
        fixed.pid()
        } -> std::same_as<pid_t>;
    {
        fixed.address()
        } -> std::convertible_to<endpoint>;
    // Returns the status of one ordinary request, 0 if there was no answer.
    {
        fixed.ask()
        } -> std::same_as<int>;
    {
        it.has_exited()
        } -> std::same_as<bool>;
    // What the settings allow.
    {
        fixed.max_bytes()
        } -> std::same_as<std::uint64_t>;
    {
        fixed.max_descriptors()
        } -> std::same_as<std::size_t>;
};

/// A gateway between the store stub and a hostile plain server.
class gateway_subject
{
public:
    static constexpr std::string_view path_prefix = "/look/";

    gateway_subject(const std::filesystem::path& product,
                    const std::filesystem::path& work, std::uint64_t memory_mb);

    [[nodiscard]] pid_t pid() const { return deployment_.gateways[0].pid; }
    [[nodiscard]] endpoint address() const
    {
        return deployment_.gateways[0].caller_endpoint;
    }
    [[nodiscard]] int ask() const;
    bool has_exited() { return deployment_.reap_if_exited(0); }
    [[nodiscard]] std::uint64_t max_bytes() const { return memory_mb_ << 20U; }
    [[nodiscard]] std::size_t max_descriptors() const;

private:
    std::uint64_t memory_mb_;
    soak::deployment deployment_;
    hostile_backend server_;
};

/// An entry without a configuration, which reads a request before it refuses it.
class entry_subject
{
public:
    static constexpr std::string_view path_prefix = "/services/plain/";

    entry_subject(const std::filesystem::path& product,
                  const std::filesystem::path& work);
    ~entry_subject();
    entry_subject(const entry_subject&) = delete;
    entry_subject& operator=(const entry_subject&) = delete;

    [[nodiscard]] pid_t pid() const { return pid_; }
    [[nodiscard]] endpoint address() const { return address_; }
    [[nodiscard]] int ask() const;
    bool has_exited();
    [[nodiscard]] std::uint64_t max_bytes() const;
    [[nodiscard]] std::size_t max_descriptors() const;

private:
    endpoint address_;
    pid_t pid_ = 0;
};

} // namespace pistachiopost::abuse
