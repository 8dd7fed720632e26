/// \file
/// Stub of the platform's store with fault injection.
#pragma once

#include "soak/loopback_server.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace pistachiopost::soak {

/// Behaviour of the store.
enum class store_mode
{
    sound,
    refusing,      ///< Answers 503 without effect.
    silent,        ///< Accepts calls and never answers.
    slow,          ///< Answers after 1 s.
    losing_answers ///< Carries out the call and resets the connection.
};

/// Tables of rows that are read, written and followed over HTTP.
class store
{
public:
    store();

    [[nodiscard]] endpoint where() const { return server_.where(); }
    /// Writes a row on behalf of operators and backend servers, regardless of the mode.
    void write(const std::string& table, const std::string& key, std::string_view value);
    /// Removes a row.
    void remove(const std::string& table, const std::string& key);
    void set_mode(store_mode mode);
    /// Discards the history, so that followers must reread whole tables.
    void forget_history();

private:
    struct row
    {
        std::string value; ///< Base64-encoded, as on the wire.
        std::uint64_t version = 0;
        bool removed = false;
    };
    using table = std::map<std::string, row>;

    bool answer(tcp_stream& stream, const received_request& request);
    nlohmann::json carry_out(const received_request& request, int& status);
    nlohmann::json get(const std::string& name);
    nlohmann::json follow(const std::string& name, std::uint64_t since,
                          milliseconds patience, int& status);
    nlohmann::json write_all(const nlohmann::json& body);
    void put(const std::string& name, const std::string& key, row it);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, table> tables_;
    std::uint64_t version_ = 0;
    std::uint64_t forgotten_ = 0; ///< Followers get no changes up to this version.
    store_mode mode_ = store_mode::sound;
    loopback_server server_;
};

} // namespace pistachiopost::soak
