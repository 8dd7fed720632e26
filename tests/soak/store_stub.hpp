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
    normal,
    refusing,        ///< Answers 503 without effect.
    silent,          ///< Accepts calls and never answers.
    slow,            ///< Answers after 1 s.
    dropping_answers ///< Carries out the call and resets the connection.
};

/// Tables of rows that are read, written and followed over HTTP.
class store_stub
{
public:
    store_stub();
    ~store_stub();
    store_stub(const store_stub&) = delete;
    store_stub& operator=(const store_stub&) = delete;

    [[nodiscard]] endpoint local_endpoint() const { return server_.local_endpoint(); }
    /// Writes a row on behalf of operators and backend servers, regardless of the mode.
    void write(const std::string& table, const std::string& key, std::string_view value);
    /// Removes a row.
    void remove(const std::string& table, const std::string& key);
    /// Returns whether a table has a row.
    bool has_row(const std::string& table, const std::string& key);
    void set_mode(store_mode mode);
    /// Discards the history, so that followers must reread whole tables.
    void compact_history();
    /// Returns to the state of `age` ago and begins a new history from there: later
    /// changes are lost, and their versions are given out again.
    void restore_copy(milliseconds age);
    /// Writes what operators and backend servers had written again where it was lost.
    void rewrite_lost();

private:
    struct row
    {
        std::string value; ///< Base64-encoded, as on the wire.
        std::uint64_t version = 0;
        bool removed = false;
    };
    using table = std::map<std::string, row>;
    using table_set = std::map<std::string, table>;
    struct copy
    {
        time_point taken_at;
        table_set tables;
        std::uint64_t version = 0;
    };
    struct reply
    {
        int status = 200;
        std::uint64_t era = 0;
        nlohmann::json body = nlohmann::json::object();
    };

    bool answer(tcp_stream& stream, const received_request& request);
    reply handle(const received_request& request);
    reply read_table(const std::string& name);
    reply follow(const std::string& name, std::uint64_t since, milliseconds timeout);
    reply commit(const nlohmann::json& body);
    void put(const std::string& name, const std::string& key, row it);
    void take_copy();

    std::mutex mutex_;
    std::condition_variable changed_;
    table_set tables_;
    table_set authored_; ///< Last write of operators and backend servers to each row.
    std::deque<copy> copies_;
    std::uint64_t version_ = 0;
    std::uint64_t era_ = 1;
    std::uint64_t compacted_version_ = 0; ///< Last version without history.
    store_mode mode_ = store_mode::normal;
    bool stopping_ = false;
    loopback_server server_;
};

} // namespace pistachiopost::soak
