/// The requests that a whole fleet of gateways sends to a cold backend server.
#include "process/membership/cold_allowance.hpp"
#include "process/membership/row_order.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <vector>

using namespace pistachiopost;

namespace {

constexpr double rate = 28;
constexpr cold_bound typical_bound{1.5, 5};
constexpr std::uint32_t bound = 47; // 28 * 1.5 + 5
constexpr milliseconds longest_transit{90};
// A process that starts later than this long after its predecessor has ended.
constexpr milliseconds restart_time{50};

std::string name_of(std::size_t gateway)
{
    return fmt::format("gateway-{}", gateway);
}

/// The gateways' table: a row has the version of its last write.
class gateways_table
{
public:
    [[nodiscard]] const std::vector<stored_row>& rows() const { return rows_; }
    void write(const std::string& key)
    {
        std::erase_if(rows_, [&](const stored_row& it) { return it.key == key; });
        rows_.push_back({key, "", {0, ++version_}, false});
    }

private:
    std::vector<stored_row> rows_;
    std::uint64_t version_ = 0;
};

/// A gateway that always has requests for each cold backend server.
struct greedy_gateway
{
    greedy_gateway(std::size_t number, time_point now) : name(name_of(number))
    {
        start(now);
    }

    /// Starts a process that knows nothing of its predecessor.
    void start(time_point now)
    {
        process = cold_allowance(name, to_own_clock(now));
        process.set_bound(typical_bound);
    }
    /// Reads the table; the knowledge stays as it is from then on.
    void read(const gateways_table& table)
    {
        if (const auto preceding = find_preceding_rows(table.rows(), name))
        {
            process.set_predecessors(*preceding);
        }
    }
    [[nodiscard]] time_point to_own_clock(time_point now) const
    {
        const auto elapsed = now.time_since_epoch().count();
        return time_point(steady::duration(
            static_cast<steady::rep>(static_cast<double>(elapsed) * clock_rate)));
    }

    std::string name;
    double clock_rate = 1;
    time_point stopped_until; ///< Frozen, or between two processes.
    cold_allowance process{name};
};

/// A request on its way to a cold backend server.
struct request_in_flight
{
    std::size_t gateway = 0;
    time_point arrives;
    time_point send_at; ///< Until then a frozen process holds it back.
    time_point send_by;
};

/// Requests that arrive at one backend server.
class arrival_counter
{
public:
    void add(time_point now)
    {
        recent_.push_back(now);
        while (now - recent_.front() >= seconds{1})
        {
            recent_.pop_front();
        }
        most_ = std::max(most_, recent_.size());
        ++total_;
    }
    [[nodiscard]] std::size_t most() const { return most_; }
    [[nodiscard]] std::size_t total() const { return total_; }

private:
    std::deque<time_point> recent_;
    std::size_t most_ = 0;
    std::size_t total_ = 0;
};

/// Gateways that send as many requests to cold backend servers as they are allowed to,
/// each on its own clock, while processes restart and freeze.
class fleet_fixture
{
public:
    explicit fleet_fixture(std::size_t count, unsigned seed) : random_(seed)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            gateways_.emplace_back(i, now_);
            gateways_.back().clock_rate =
                1 + 1e-3 * (static_cast<double>(pick(2'001)) / 1'000 - 1);
            gateways_.back().start(now_);
        }
        std::shuffle(gateways_.begin(), gateways_.end(), random_);
    }

    /// All publish in order; each third gateway reads only the rows that precede its own,
    /// the others read the complete table.
    void join_all()
    {
        for (std::size_t i = 0; i < gateways_.size(); ++i)
        {
            table_.write(gateways_[i].name);
            if (i % 3 == 0)
            {
                gateways_[i].read(table_);
            }
        }
        for (std::size_t i = 0; i < gateways_.size(); ++i)
        {
            if (i % 3 != 0)
            {
                gateways_[i].read(table_);
            }
        }
    }

    /// Lets time pass. `disturb` is called once every millisecond.
    template <typename Disturb>
    void run(milliseconds time, const Disturb& disturb)
    {
        const auto end = now_ + time;
        for (; now_ < end; now_ += milliseconds{1})
        {
            disturb();
            for (std::size_t i = 0; i < gateways_.size(); ++i)
            {
                if (now_ >= gateways_[i].stopped_until)
                {
                    place_requests(i);
                }
            }
            deliver();
        }
    }
    void run(milliseconds time)
    {
        run(time, [] {});
    }

    /// Ends the process of a random gateway; the next one reads the table. With `rewrite`
    /// the row changes, e.g. because the gateway has another address.
    void restart_one(bool rewrite)
    {
        auto& it = gateways_[pick(gateways_.size())];
        if (now_ < it.stopped_until)
        {
            return;
        }
        it.start(now_);
        it.stopped_until = now_ + restart_time;
        const auto i = static_cast<std::size_t>(&it - gateways_.data());
        for (auto& server : in_flight_)
        {
            std::erase_if(server, [&](const request_in_flight& request) {
                return request.gateway == i && request.send_at > now_;
            });
        }
        if (rewrite)
        {
            table_.write(it.name);
        }
        it.read(table_);
    }
    /// A gateway that did not exist before.
    void add_one()
    {
        gateways_.emplace_back(gateways_.size(), now_);
        table_.write(gateways_.back().name);
        gateways_.back().read(table_);
    }
    void freeze_one(milliseconds time)
    {
        gateways_[pick(gateways_.size())].stopped_until = now_ + time;
    }

    void check_bound(std::string_view what, milliseconds time) const
    {
        std::size_t most = 0;
        std::size_t total = 0;
        for (const auto& it : arrivals_)
        {
            most = std::max(most, it.most());
            total += it.total();
        }
        const double per_second = static_cast<double>(total) / servers.size() /
                                  std::chrono::duration<double>(time).count();
        fmt::print("cold allowance, {} gateways, {}: most in one second {} of {} ({:.0f} "
                   "%), mean {:.1f} per second ({:.0f} %)\n",
                   gateways_.size(), what, most, bound,
                   100.0 * static_cast<double>(most) / bound, per_second,
                   100 * per_second / bound);
        cr_assert_leq(most, std::size_t{bound});
        cr_assert_gt(total, 0U);
    }

    std::size_t pick(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }

private:
    static constexpr std::array<std::string_view, 8> servers{"i-1", "i-2", "i-3", "i-4",
                                                             "i-5", "i-6", "i-7", "i-8"};

    void place_requests(std::size_t i)
    {
        auto& it = gateways_[i];
        const auto own_now = it.to_own_clock(now_);
        for (std::size_t s = 0; s < servers.size(); ++s)
        {
            if (!it.process.may_send(servers[s], rate, own_now))
            {
                continue;
            }
            it.process.spend(servers[s], rate, own_now);
            const auto sent = now_ + milliseconds(pick(cold_send_timeout.count() + 1));
            const auto transit = milliseconds(pick(longest_transit.count() + 1));
            in_flight_[s].push_back({i, sent + transit, sent, now_ + cold_send_timeout});
        }
    }

    /// A frozen process sends nothing; once awake, nothing that is overdue.
    void deliver()
    {
        for (std::size_t s = 0; s < servers.size(); ++s)
        {
            std::erase_if(in_flight_[s], [&](request_in_flight& it) {
                const auto awake = gateways_[it.gateway].stopped_until;
                if (it.send_at >= now_ && awake > it.send_at)
                {
                    if (awake > it.send_by)
                    {
                        return true;
                    }
                    it.arrives += awake - it.send_at;
                    it.send_at = awake;
                }
                if (it.arrives > now_)
                {
                    return false;
                }
                arrivals_[s].add(now_);
                return true;
            });
        }
    }

    std::mt19937 random_;
    time_point now_{std::chrono::hours{1}};
    std::vector<greedy_gateway> gateways_;
    gateways_table table_;
    std::array<std::vector<request_in_flight>, servers.size()> in_flight_;
    std::array<arrival_counter, servers.size()> arrivals_;
};

void check_fleet(std::size_t gateways)
{
    constexpr seconds time{12};
    fleet_fixture undisturbed(gateways, 1);
    undisturbed.join_all();
    undisturbed.run(time);
    undisturbed.check_bound("a third read only earlier rows", time);
    for (unsigned seed = 1; seed <= 3; ++seed)
    {
        fleet_fixture it(gateways, seed);
        it.join_all();
        it.run(time, [&] {
            if (it.pick(40) == 0)
            {
                it.restart_one(it.pick(4) == 0);
            }
            if (it.pick(100) == 0)
            {
                it.freeze_one(milliseconds(it.pick(3'000)));
            }
            if (it.pick(400) == 0)
            {
                it.add_one();
            }
        });
        it.check_bound(fmt::format("restarts, freezes and newcomers, seed {}", seed),
                       time);
    }
}

} // namespace

// Guards against a cold backend server that crashes because the gateways together send it
// more than its bound, with the fleet sizes of the deployments.
Test(cold_fleet, sum_of_3_gateways_stays_within_the_bound)
{
    check_fleet(3);
}

Test(cold_fleet, sum_of_27_gateways_stays_within_the_bound)
{
    check_fleet(27);
}

Test(cold_fleet, sum_of_30_gateways_stays_within_the_bound)
{
    check_fleet(30);
}

Test(cold_fleet, sum_of_103_gateways_stays_within_the_bound)
{
    check_fleet(103);
}

Test(cold_fleet, sum_of_300_gateways_stays_within_the_bound)
{
    check_fleet(300);
}
