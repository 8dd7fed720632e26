#include "soak/faults.hpp"

#include <fmt/format.h>

#include <array>
#include <csignal>
#include <thread>

namespace pistachiopost::soak {

namespace {

// Time after SIGTERM at which the platform kills a gateway.
constexpr seconds stop_grace{8};
// Effects of a disturbance may last this long after its end: the platform's stable
// window.
constexpr milliseconds after_effects{3'000};
// Exceeds the 2 s within which a draining backend server must stop getting new work.
constexpr milliseconds leaving_time{3'500};

} // namespace

void fault_maker::run(milliseconds length)
{
    const auto until = steady::now() + length;
    while (steady::now() < until)
    {
        begin_one();
        std::this_thread::sleep_for(milliseconds{50 + random_() % 900});
        end_due(steady::now());
        for (std::size_t i = 0; i < target_.gateways.size(); ++i)
        {
            if (target_.ended(i))
            {
                broken_.push_back(fmt::format("gateway {} exited unexpectedly", i));
                target_.start(i);
            }
        }
    }
    end_due(time_point::max());
}

void fault_maker::begin_one()
{
    using action = void (fault_maker::*)();
    static constexpr std::array<action, 11> actions{
        &fault_maker::stop_gateway,        &fault_maker::kill_gateway,
        &fault_maker::pause_gateway,       &fault_maker::change_settings,
        &fault_maker::disturb_store,       &fault_maker::disturb_store_link,
        &fault_maker::disturb_worker,      &fault_maker::disturb_worker_link,
        &fault_maker::take_worker_away,    &fault_maker::lapse_worker,
        &fault_maker::change_configuration};
    (this->*actions[random_() % actions.size()])();
}

void fault_maker::begin(std::string name, milliseconds hold, std::function<void()> end,
                        std::optional<std::size_t> gateway)
{
    const auto now = steady::now();
    disturbance it;
    it.name = std::move(name);
    it.from = now;
    it.gateway = gateway;
    done_.push_back(std::move(it));
    open_.push_back({done_.size() - 1, now + hold, std::move(end)});
}

void fault_maker::end_due(time_point now)
{
    for (std::size_t i = 0; i < open_.size();)
    {
        if (open_[i].until > now)
        {
            ++i;
            continue;
        }
        const auto it = std::move(open_[i]);
        open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(i));
        it.end();
        done_[it.number].to = steady::now() + after_effects;
    }
}

void fault_maker::stop_gateway()
{
    const auto i = pick_gateway();
    begin(
        fmt::format("stop gateway {}", i), milliseconds{0}, [] {}, i);
    done_.back().planned = true;
    target_.signal(i, SIGTERM);
    const auto until = steady::now() + stop_grace;
    if (const int code = target_.wait_end(i); code != 0)
    {
        broken_.push_back(fmt::format("gateway {} stopped with exit code {}", i, code));
    }
    if (steady::now() > until)
    {
        broken_.push_back(
            fmt::format("gateway {} did not stop within the grace period", i));
    }
    target_.start(i);
}

void fault_maker::kill_gateway()
{
    const auto i = pick_gateway();
    begin(
        fmt::format("kill gateway {}", i), milliseconds{0}, [] {}, i);
    target_.signal(i, SIGKILL);
    target_.wait_end(i);
    std::this_thread::sleep_for(milliseconds{random_() % 600});
    target_.start(i);
}

void fault_maker::pause_gateway()
{
    const auto i = pick_gateway();
    begin(
        fmt::format("pause gateway {}", i), milliseconds{0}, [] {}, i);
    target_.signal(i, SIGSTOP);
    std::this_thread::sleep_for(milliseconds{100 + random_() % 1'500});
    target_.signal(i, SIGCONT);
}

void fault_maker::change_settings()
{
    const auto i = pick_gateway();
    begin(
        fmt::format("settings change of gateway {}", i), milliseconds{0}, [] {}, i);
    done_.back().planned = true;
    target_.change_settings(i);
}

void fault_maker::disturb_store()
{
    constexpr std::array modes{store_mode::refusing, store_mode::silent, store_mode::slow,
                               store_mode::losing_answers};
    const auto which = random_() % (modes.size() + 1);
    if (which == modes.size())
    {
        begin("store compacts its history", milliseconds{0}, [] {});
        target_.table.forget_history();
        return;
    }
    begin(fmt::format("store mode {}", which + 1), pick_hold(),
          [this] { target_.table.set_mode(store_mode::sound); });
    target_.table.set_mode(modes[which]);
}

void fault_maker::disturb_store_link()
{
    constexpr std::array modes{proxy_mode::reset, proxy_mode::cut_answers,
                               proxy_mode::cut_requests, proxy_mode::silent};
    const auto i = pick_gateway();
    const auto which = random_() % modes.size();
    auto& link = *target_.gateways[i].to_store;
    begin(
        fmt::format("link {} of gateway {} and the store", which, i), pick_hold(),
        [&link] { link.set_mode(proxy_mode::pass); }, i);
    link.set_mode(modes[which]);
}

void fault_maker::disturb_worker()
{
    constexpr std::array modes{worker_mode::failing, worker_mode::resetting,
                               worker_mode::silent, worker_mode::full};
    const auto i = pick_worker();
    const auto which = random_() % modes.size();
    auto& server = *target_.workers[i].server;
    begin(fmt::format("mode {} of {}", which + 1, server.id()), pick_hold(),
          [&server] { server.set_mode(worker_mode::sound); });
    server.set_mode(modes[which]);
}

void fault_maker::disturb_worker_link()
{
    constexpr std::array modes{proxy_mode::delay, proxy_mode::reset,
                               proxy_mode::cut_requests, proxy_mode::cut_answers,
                               proxy_mode::silent};
    const auto i = pick_worker();
    auto& link = *target_.workers[i].link;
    const auto which = random_() % (modes.size() + 1);
    const auto name =
        fmt::format("link {} to {}", which, target_.workers[i].server->id());
    if (which == modes.size())
    {
        begin(name, milliseconds{0}, [] {});
        link.reset_open();
        return;
    }
    begin(name, pick_hold(), [&link] { link.set_mode(proxy_mode::pass); });
    link.set_mode(modes[which]);
}

void fault_maker::take_worker_away()
{
    const auto i = pick_worker();
    const auto& id = target_.workers[i].server->id();
    if (changes_row(id))
    {
        return;
    }
    begin(fmt::format("{} drains", id), leaving_time,
          [this, i] { target_.list(i, false); });
    target_.list(i, true);
    done_.back().planned = true;
    done_.back().row = id;
    done_.back().leaves = true;
}

void fault_maker::lapse_worker()
{
    const auto i = pick_worker();
    const auto& id = target_.workers[i].server->id();
    if (changes_row(id))
    {
        return;
    }
    begin(fmt::format("row of {} expires", id), milliseconds{random_() % 2'000},
          [this, i] { target_.list(i, false); });
    done_.back().row = id;
    target_.unlist(i);
}

void fault_maker::change_configuration()
{
    target_.configure(random_() % 30);
    begin("configuration change", milliseconds{0}, [] {});
    done_.back().planned = true;
}

bool fault_maker::changes_row(const std::string& id) const
{
    return std::any_of(open_.begin(), open_.end(),
                       [&](const auto& it) { return done_[it.number].row == id; });
}

std::size_t fault_maker::pick_gateway()
{
    return random_() % target_.gateways.size();
}

std::size_t fault_maker::pick_worker()
{
    return random_() % target_.workers.size();
}

milliseconds fault_maker::pick_hold()
{
    return milliseconds{200 + random_() % 2'500};
}

} // namespace pistachiopost::soak
