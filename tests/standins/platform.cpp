#include "standins/platform.hpp"

#include "connection/http_server.hpp"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace pistachiopost::standins {

namespace {

using nlohmann::json;

http_limits server_limits()
{
    http_limits it;
    it.max_connections = 1'024;
    return it;
}

void reply(httplib::Response& res, int status, const json& body)
{
    res.status = status;
    res.set_content(body.dump(), "application/json");
}

class table
{
public:
    /// Applies all operations atomically. Returns the indices of the operations whose
    /// expectation failed.
    std::vector<std::size_t> transact(const json& operations)
    {
        const std::lock_guard lock(mutex_);
        ++writes_;
        std::vector<std::size_t> failed;
        for (std::size_t i = 0; i < operations.size(); ++i)
        {
            if (!expectation_met(operations[i]))
            {
                failed.push_back(i);
            }
        }
        if (!failed.empty())
        {
            return failed;
        }
        for (const auto& it : operations)
        {
            const auto key = row_key(it.at("table"), it.at("key"));
            if (it.at("write").is_null())
            {
                rows_.erase(key);
            }
            else
            {
                rows_[key] = it.at("write");
            }
        }
        return failed;
    }

    json find(const std::string& name, const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        ++reads_;
        const auto it = rows_.find({name, key});
        return it == rows_.end() ? json(nullptr) : it->second;
    }

    json counts()
    {
        const std::lock_guard lock(mutex_);
        return {{"reads", reads_}, {"writes", writes_}, {"rows", rows_.size()}};
    }

private:
    using row_name = std::pair<std::string, std::string>;

    static row_name row_key(const json& name, const json& key)
    {
        return {name.get<std::string>(), key.get<std::string>()};
    }

    bool expectation_met(const json& operation)
    {
        const auto it = rows_.find(row_key(operation.at("table"), operation.at("key")));
        const auto expect = operation.value("expect", json::object());
        if (expect.value("absent", false))
        {
            return it == rows_.end();
        }
        const auto equals = expect.value("equals", json::object());
        for (const auto& field : equals.items())
        {
            if (it == rows_.end() ||
                it->second.value(field.key(), json()) != field.value())
            {
                return false;
            }
        }
        return true;
    }

    std::mutex mutex_;
    std::map<row_name, json> rows_;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

/// Injected faults of the table service.
class platform_faults
{
public:
    void set(std::string_view text)
    {
        const auto faults = json::parse(text);
        const std::lock_guard lock(mutex_);
        down_ = faults.value("down", down_);
        delay_ = std::chrono::milliseconds(faults.value("slow_ms", delay_.count()));
        replies_to_drop_ = faults.value("lose_answers", replies_to_drop_);
    }

    /// Applies the configured delay. Returns whether the service is available.
    bool delay_and_check_available()
    {
        std::unique_lock lock(mutex_);
        const auto delay = delay_;
        const bool up = !down_;
        lock.unlock();
        std::this_thread::sleep_for(delay);
        return up;
    }

    bool drops_reply()
    {
        const std::lock_guard lock(mutex_);
        return replies_to_drop_ > 0 && replies_to_drop_-- > 0;
    }

private:
    std::mutex mutex_;
    bool down_ = false;
    std::chrono::milliseconds delay_{2};
    int replies_to_drop_ = 0;
};

void transact(table& rows, platform_faults& faults, const httplib::Request& req,
              httplib::Response& res)
{
    if (!faults.delay_and_check_available())
    {
        reply(res, 503, {{"error", "down"}});
        return;
    }
    const auto failed = rows.transact(json::parse(req.body).at("operations"));
    if (faults.drops_reply())
    {
        reply(res, 500, {{"error", "answer lost"}});
        return;
    }
    reply(res, failed.empty() ? 200 : 409, {{"failed", failed}});
}

class vm_list
{
public:
    explicit vm_list(std::uint32_t lag_ms) : propagation_delay_(lag_ms) {}

    void set(std::string text)
    {
        const std::lock_guard lock(mutex_);
        published_ = std::move(text);
        visible_at_ = std::chrono::steady_clock::now() + propagation_delay_;
        ++version_;
    }

    std::pair<std::string, std::string> get()
    {
        const std::lock_guard lock(mutex_);
        if (std::chrono::steady_clock::now() >= visible_at_)
        {
            visible_ = published_;
            visible_version_ = version_;
        }
        return {visible_, std::to_string(visible_version_)};
    }

private:
    std::chrono::milliseconds propagation_delay_;
    std::mutex mutex_;
    std::string visible_ = "[]";
    std::string published_ = "[]";
    std::chrono::steady_clock::time_point visible_at_;
    std::uint64_t version_ = 1;
    std::uint64_t visible_version_ = 0;
};

/// Counts the executions of each request body.
class execution_counter
{
public:
    std::uint64_t run(const std::string& body)
    {
        const std::lock_guard lock(mutex_);
        return ++runs_[body];
    }

    json records()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> runs_;
};

} // namespace

int run_table(std::string_view address, std::uint16_t port)
{
    table rows;
    platform_faults faults;
    http_server server(server_limits(), "{}");
    server.Post("/transactions",
                [&](const auto& req, auto& res) { transact(rows, faults, req, res); });
    server.Get("/rows", [&](const auto& req, auto& res) {
        if (!faults.delay_and_check_available())
        {
            reply(res, 503, {{"error", "down"}});
            return;
        }
        const auto row =
            rows.find(req.get_param_value("table"), req.get_param_value("key"));
        reply(res, row.is_null() ? 404 : 200, row);
    });
    server.Get("/counts",
               [&](const auto&, auto& res) { reply(res, 200, rows.counts()); });
    server.Post("/faults", [&](const auto& req, auto& res) {
        faults.set(req.body);
        reply(res, 200, json::object());
    });
    server.bind({std::string(address), port});
    server.serve();
    return 0;
}

int run_vm_list(std::string_view address, std::uint16_t port, std::uint32_t lag_ms)
{
    vm_list list(lag_ms);
    http_server server(server_limits(), "{}");
    server.Get("/vms", [&](const auto& req, auto& res) {
        const auto [text, etag] = list.get();
        res.set_header("ETag", etag);
        if (req.get_header_value("If-None-Match") == etag)
        {
            res.status = 304;
            return;
        }
        res.set_content(text, "application/json");
    });
    server.Post("/vms", [&](const auto& req, auto& res) {
        list.set(req.body);
        reply(res, 200, json::object());
    });
    server.bind({std::string(address), port});
    server.serve();
    return 0;
}

int run_service(std::string_view address, std::uint16_t port)
{
    execution_counter counter;
    std::atomic<int> delay_ms{0};
    std::atomic<bool> die_after_effect{false};
    http_server server(server_limits(), "{}");
    server.Post("/faults", [&](const auto& req, auto& res) {
        const auto faults = json::parse(req.body);
        delay_ms = faults.value("delay_ms", delay_ms.load());
        die_after_effect = faults.value("die_after_effect", die_after_effect.load());
        reply(res, 200, json::object());
    });
    server.Get("/records",
               [&](const auto&, auto& res) { reply(res, 200, counter.records()); });
    server.Post("/.*", [&](const auto& req, auto& res) {
        const auto n = counter.run(req.body);
        if (die_after_effect)
        {
            ::_exit(3);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
        reply(res, 200, {{"recorded", req.body}, {"times", n}});
    });
    server.bind({std::string(address), port});
    server.serve();
    return 0;
}

} // namespace pistachiopost::standins
