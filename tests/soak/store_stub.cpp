#include "soak/store_stub.hpp"

#include "connection/base64.hpp"

#include <algorithm>
#include <thread>

namespace pistachiopost::soak {

namespace {

using nlohmann::json;

// The store takes copies at this interval, and returns from none that is older.
constexpr milliseconds copy_interval{250};
constexpr milliseconds max_copy_age{20'000};

/// Returns the value of a query parameter, empty if absent.
std::string query_value(std::string_view target, std::string_view name)
{
    const auto key = std::string(name) + "=";
    auto at = target.find("?" + key);
    at = at == std::string_view::npos ? target.find("&" + key) : at;
    if (at == std::string_view::npos)
    {
        return "";
    }
    const auto rest = target.substr(at + 1 + key.size());
    return std::string(rest.substr(0, rest.find('&')));
}

std::uint64_t query_number(std::string_view target, std::string_view name)
{
    const auto text = query_value(target, name);
    return text.empty() ? 0 : std::stoull(text);
}

json row_json(const std::string& name, const std::string& key, std::string_view value,
              std::uint64_t version, bool removed)
{
    json it{{"table", name}, {"part", ""}, {"key", key}, {"ver", version}};
    if (removed)
    {
        it["deleted"] = true;
    }
    else
    {
        it["value"] = value;
    }
    return it;
}

} // namespace

store_stub::store_stub()
    : server_([this](unique_fd sock) {
          serve_requests(std::move(sock), server_.stop_fd(),
                         [this](auto& stream, auto& it) { return answer(stream, it); });
      })
{
}

store_stub::~store_stub()
{
    const std::lock_guard lock(mutex_);
    stopping_ = true; // ends the calls that wait
    changed_.notify_all();
}

void store_stub::write(const std::string& name, const std::string& key,
                       std::string_view value)
{
    const std::lock_guard lock(mutex_);
    put(name, key, {encode_base64(value), ++version_, false});
    authored_[name][key] = tables_[name][key];
}

void store_stub::remove(const std::string& name, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    put(name, key, {"", ++version_, true});
    authored_[name][key] = tables_[name][key];
}

bool store_stub::has_row(const std::string& name, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto it = tables_[name].find(key);
    return it != tables_[name].end() && !it->second.removed;
}

void store_stub::put(const std::string& name, const std::string& key, row it)
{
    take_copy();
    tables_[name][key] = std::move(it);
    changed_.notify_all();
}

/// Copies the state before a change, unless the last copy is recent.
void store_stub::take_copy()
{
    const auto now = steady::now();
    if (copies_.empty() || now - copies_.back().taken_at >= copy_interval)
    {
        copies_.push_back({now, tables_, version_ - 1});
    }
    while (!copies_.empty() && now - copies_.front().taken_at > max_copy_age)
    {
        copies_.pop_front();
    }
}

void store_stub::restore_copy(milliseconds age)
{
    const std::lock_guard lock(mutex_);
    const auto until = steady::now() - age;
    // Each copy was taken before a change, so the first one after `until` has that state.
    const auto it = std::find_if(copies_.begin(), copies_.end(),
                                 [&](const copy& one) { return one.taken_at >= until; });
    if (it != copies_.end())
    {
        tables_ = std::move(it->tables);
        version_ = it->version;
        copies_.erase(it, copies_.end());
    }
    compacted_version_ = std::min(compacted_version_, version_);
    ++era_;
    changed_.notify_all();
}

void store_stub::rewrite_lost()
{
    const std::lock_guard lock(mutex_);
    for (const auto& [name, rows] : authored_)
    {
        for (const auto& [key, wanted] : rows)
        {
            const auto& known = tables_[name];
            const auto it = known.find(key);
            const bool lost = it == known.end()
                                  ? !wanted.removed
                                  : it->second.value != wanted.value ||
                                        it->second.removed != wanted.removed;
            if (lost)
            {
                put(name, key, {wanted.value, ++version_, wanted.removed});
            }
        }
    }
}

void store_stub::set_mode(store_mode mode)
{
    const std::lock_guard lock(mutex_);
    mode_ = mode;
    changed_.notify_all();
}

void store_stub::compact_history()
{
    const std::lock_guard lock(mutex_);
    compacted_version_ = version_;
    for (auto& [name, rows] : tables_)
    {
        std::erase_if(rows, [](const auto& it) { return it.second.removed; });
    }
}

bool store_stub::answer(tcp_stream& stream, const received_request& request)
{
    store_mode mode = store_mode::normal;
    {
        const std::lock_guard lock(mutex_);
        mode = mode_;
    }
    if (mode == store_mode::refusing)
    {
        send_answer(stream, 503, "", "{}");
        return true;
    }
    if (mode == store_mode::silent)
    {
        wait_readable(stream.fd(), server_.stop_fd(), steady::now() + seconds{10});
        return false;
    }
    if (mode == store_mode::slow)
    {
        std::this_thread::sleep_for(seconds{1});
    }
    const auto it = handle(request);
    if (mode == store_mode::dropping_answers)
    {
        reset_connection(stream);
        return false;
    }
    const auto fields =
        "Content-Type: application/json\r\nStore-Era: " + std::to_string(it.era) + "\r\n";
    send_answer(stream, it.status, fields, it.body.dump());
    return true;
}

store_stub::reply store_stub::handle(const received_request& request)
{
    const std::string_view target = request.head.target;
    const auto name = query_value(target, "table");
    if (target.starts_with("/v1/rows-get"))
    {
        return read_table(name);
    }
    if (target.starts_with("/v1/rows-feed"))
    {
        const milliseconds timeout{query_number(target, "wait-ms")};
        return follow(name, query_number(target, "since-rev"), timeout);
    }
    if (target.starts_with("/v1/rows-tx"))
    {
        return commit(json::parse(request.body));
    }
    return {404, 0};
}

store_stub::reply store_stub::read_table(const std::string& name)
{
    const std::lock_guard lock(mutex_);
    auto rows = json::array();
    for (const auto& [key, it] : tables_[name])
    {
        if (!it.removed)
        {
            rows.push_back(row_json(name, key, it.value, it.version, false));
        }
    }
    return {200, era_, {{"ver", version_}, {"rows", rows}, {"has-more", false}}};
}

store_stub::reply store_stub::follow(const std::string& name, std::uint64_t since,
                                     milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    const auto newer = [&](const auto& it) { return it.second.version > since; };
    changed_.wait_for(lock, timeout, [&] {
        const auto& rows = tables_[name];
        return stopping_ || since > version_ || mode_ != store_mode::normal ||
               std::any_of(rows.begin(), rows.end(), newer);
    });
    if (since < compacted_version_ || since > version_)
    {
        return {410, era_};
    }
    std::map<std::uint64_t, json> in_order;
    for (const auto& [key, it] : tables_[name])
    {
        if (it.version > since)
        {
            in_order[it.version] = row_json(name, key, it.value, it.version, it.removed);
        }
    }
    auto rows = json::array();
    for (auto& [version, it] : in_order)
    {
        rows.push_back(std::move(it));
    }
    return {200, era_, {{"ver", version_}, {"rows", rows}}};
}

store_stub::reply store_stub::commit(const json& body)
{
    const std::lock_guard lock(mutex_);
    ++version_;
    for (const auto& it : body.at("writes"))
    {
        put(it.at("table"), it.at("key"), {it.at("value"), version_, false});
    }
    return {200, era_, {{"ver", version_}}};
}

} // namespace pistachiopost::soak
