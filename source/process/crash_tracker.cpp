#include "process/crash_tracker.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace pistachiopost {

namespace {

// Points of one crash. Of requests that wait at a crashing backend server nothing has
// come; the one that crashes it has got at least a head.
constexpr std::uint32_t points_after_begin = 2;
constexpr std::uint32_t points_before_begin = 1;
// A request that crashed three backend servers is blocked: the platform allows three
// retries after that.
constexpr std::uint32_t points_to_block = 3 * points_after_begin;
// Crashes of different requests at less than this distance may have one common cause,
// such as the loss of a rack.
constexpr milliseconds occasion_length{250};
// Time for which a report counts: callers retry within deadlines of seconds, and a
// harmless request meets few crashes in a minute.
constexpr std::chrono::minutes report_lifetime{1};
// Time for which a successful answer excuses crashes that follow.
constexpr milliseconds success_memory{3'000};
// Time for which a block lasts. A request that met three crashes by chance has no other
// requests that could clear it.
constexpr std::chrono::minutes request_block_lifetime = report_lifetime;
constexpr std::chrono::minutes part_block_lifetime{5};
// Blocks that end sooner are not passed on, so that none outlives its end by delays.
constexpr milliseconds min_shared_block{5'000};
// Time for which reports and clearances are sent to peers: three times the peer timeout,
// so that short losses of connectivity are covered.
constexpr milliseconds share_period{3'000};
constexpr milliseconds cleaning_interval{1'000};
// Bounds memory to 1 MB at 250 bytes per suspect.
constexpr std::size_t max_tracked_suspects = 4'000;
constexpr std::size_t max_successes = 10'000; // 100 bytes each
// Per message; 45, 20 and 20 bytes each.
constexpr std::size_t max_shared_reports = 128;
constexpr std::size_t max_blocks = 64;
constexpr std::size_t max_shared_clearances = 64;

milliseconds block_lifetime(const suspect& subject)
{
    return subject.kind == suspect_kind::request ? request_block_lifetime
                                                 : part_block_lifetime;
}

milliseconds to_milliseconds(steady::duration it)
{
    return std::chrono::duration_cast<milliseconds>(it);
}

} // namespace

std::uint64_t request_fingerprint(std::string_view path, std::string_view customer,
                                  std::string_view body)
{
    const auto seed = XXH3_64bits(path.data(), path.size());
    const auto with_customer =
        XXH3_64bits_withSeed(customer.data(), customer.size(), seed);
    return XXH3_64bits_withSeed(body.data(), body.size(), with_customer);
}

std::vector<suspect> suspects_of(std::uint64_t fingerprint,
                                 std::span<const std::uint64_t> shared_parts)
{
    std::vector<suspect> list{{fingerprint, suspect_kind::request}};
    for (const auto it : shared_parts)
    {
        list.push_back({it, suspect_kind::prompt_part});
    }
    return list;
}

std::vector<new_block>
crash_tracker::add_broken_attempt(std::span<const suspect> involved,
                                  const backend_crash& crash, answer_progress progress,
                                  time_point now)
{
    const std::lock_guard lock(mutex_);
    remove_expired(now);
    std::vector<new_block> list;
    for (const auto& it : involved)
    {
        const bool is_request = it.kind == suspect_kind::request;
        if (!is_request && progress == answer_progress::delivered)
        {
            continue;
        }
        const bool begun = is_request || progress == answer_progress::begun;
        if (auto block = add({it, crash, begun, milliseconds{0}}, now))
        {
            list.push_back(std::move(*block));
        }
    }
    return list;
}

void crash_tracker::record_success(std::span<const suspect> involved, time_point now)
{
    const std::lock_guard lock(mutex_);
    remove_expired(now);
    for (const auto& it : involved)
    {
        add_success(it, now, true, now);
    }
}

std::vector<new_block> crash_tracker::apply(const crash_news& news, time_point now)
{
    const std::lock_guard lock(mutex_);
    remove_expired(now);
    std::vector<new_block> list;
    for (const auto& it : news.clearances)
    {
        add_success(it.subject, now - it.age, false, now);
    }
    for (const auto& it : news.blocks)
    {
        if (it.remaining >= min_shared_block &&
            it.remaining <= block_lifetime(it.subject) &&
            add_block(it.subject, now + it.remaining, now))
        {
            list.push_back({it.subject, {}});
        }
    }
    for (const auto& it : news.crashes)
    {
        if (auto block = add(it, now))
        {
            list.push_back(std::move(*block));
        }
    }
    return list;
}

std::optional<new_block> crash_tracker::add(const crash_report& report, time_point now)
{
    const auto& subject = report.subject;
    if (report.age >= report_lifetime || blocks_.contains(subject))
    {
        return std::nullopt;
    }
    const auto at = now - report.age;
    if (const auto it = successes_.find(subject);
        it != successes_.end() && at < it->second.at + success_memory)
    {
        if (it->second.local && it->second.share_until <= now)
        {
            it->second.share_until = now + share_period;
            ++generation_;
        }
        return std::nullopt;
    }
    make_room_for(subject);
    if (crashes_.size() >= max_tracked_suspects && !crashes_.contains(subject))
    {
        return std::nullopt; // so many crashes at once are not caused by one suspect
    }
    auto& crashes = crashes_[subject];
    const auto [it, added] =
        crashes.try_emplace(report.crash, crash_entry{at, report.answer_begun});
    if (!added && (it->second.answer_begun || !report.answer_begun))
    {
        return std::nullopt;
    }
    it->second.answer_begun = report.answer_begun;
    ++generation_;
    if (points(subject, crashes, now) < points_to_block)
    {
        return std::nullopt;
    }
    new_block block{subject, {}};
    for (const auto& [crash, entry] : crashes)
    {
        block.crashes.push_back(crash);
    }
    add_block(subject, now + block_lifetime(subject), now);
    return block;
}

std::uint32_t crash_tracker::points(const suspect& subject, const crash_entries& crashes,
                                    time_point now)
{
    std::vector<crash_entry> list;
    for (const auto& [crash, entry] : crashes)
    {
        if (now - entry.at < report_lifetime)
        {
            list.push_back(entry);
        }
    }
    std::sort(list.begin(), list.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    std::uint32_t sum = 0;
    std::uint32_t of_occasion = 0;
    std::optional<time_point> began;
    for (const auto& it : list)
    {
        // Crashes of one request follow one another by its retries.
        if (!began || subject.kind == suspect_kind::request ||
            it.at - *began >= occasion_length)
        {
            began = it.at;
            sum += std::exchange(of_occasion, 0);
        }
        of_occasion = std::max(of_occasion, it.answer_begun ? points_after_begin
                                                            : points_before_begin);
    }
    return sum + of_occasion;
}

bool crash_tracker::add_block(const suspect& subject, time_point until, time_point now)
{
    const auto success = successes_.find(subject);
    if (success != successes_.end() &&
        until - block_lifetime(subject) < success->second.at + success_memory)
    {
        if (success->second.local)
        {
            success->second.share_until = now + share_period;
        }
        return false;
    }
    if (blocks_.contains(subject))
    {
        return false;
    }
    if (blocks_.size() >= max_blocks)
    {
        blocks_.erase(std::min_element(
            blocks_.begin(), blocks_.end(),
            [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
    blocks_.emplace(subject, until);
    crashes_.erase(subject);
    ++generation_;
    return true;
}

void crash_tracker::add_success(const suspect& subject, time_point at, bool local,
                                time_point now)
{
    const auto excused_until = at + success_memory;
    const auto open = crashes_.find(subject);
    const bool was_open = open != crashes_.end();
    if (was_open)
    {
        std::erase_if(open->second, [excused_until](const auto& it) {
            return it.second.at < excused_until;
        });
        if (open->second.empty())
        {
            crashes_.erase(open);
        }
    }
    const auto block = blocks_.find(subject);
    const bool was_blocked =
        block != blocks_.end() && block->second - block_lifetime(subject) < excused_until;
    if (was_blocked)
    {
        blocks_.erase(block);
    }
    if (successes_.size() >= max_successes && !successes_.contains(subject))
    {
        return;
    }
    auto& entry = successes_[subject];
    if (at < entry.at)
    {
        return;
    }
    entry.at = at;
    entry.local = local;
    // A peer that was out of reach may still send the block until its end.
    entry.keep_until = std::max(
        entry.keep_until, was_blocked ? now + block_lifetime(subject) : excused_until);
    if (local && (was_open || was_blocked))
    {
        entry.share_until = now + share_period;
        ++generation_;
    }
}

std::optional<suspect> crash_tracker::find_blocked(std::span<const suspect> involved,
                                                   time_point now) const
{
    const std::lock_guard lock(mutex_);
    for (const auto& one : involved)
    {
        const auto it = blocks_.find(one);
        if (it != blocks_.end() && now < it->second)
        {
            return one;
        }
    }
    return std::nullopt;
}

std::size_t crash_tracker::blocked_count(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(blocks_.begin(), blocks_.end(),
                      [now](const auto& it) { return now < it.second; }));
}

crash_news crash_tracker::news(time_point now) const
{
    const std::lock_guard lock(mutex_);
    crash_news news;
    std::vector<std::tuple<std::uint32_t, time_point, crash_report>> reports;
    for (const auto& [subject, crashes] : crashes_)
    {
        const auto sum = points(subject, crashes, now);
        for (const auto& [crash, entry] : crashes)
        {
            if (now - entry.at < share_period)
            {
                reports.push_back({sum,
                                   entry.at,
                                   {subject, crash, entry.answer_begun,
                                    to_milliseconds(now - entry.at)}});
            }
        }
    }
    // The worst first, so that they are never cut off.
    std::sort(reports.begin(), reports.end(), [](const auto& a, const auto& b) {
        return std::tie(std::get<0>(a), std::get<1>(a)) >
               std::tie(std::get<0>(b), std::get<1>(b));
    });
    reports.resize(std::min(reports.size(), max_shared_reports));
    for (auto& it : reports)
    {
        news.crashes.push_back(std::move(std::get<2>(it)));
    }
    for (const auto& [subject, until] : blocks_)
    {
        if (until - now >= min_shared_block)
        {
            news.blocks.push_back({subject, to_milliseconds(until - now)});
        }
    }
    for (const auto& [subject, success] : successes_)
    {
        if (now < success.share_until && news.clearances.size() < max_shared_clearances)
        {
            news.clearances.push_back({subject, to_milliseconds(now - success.at)});
        }
    }
    return news;
}

std::uint64_t crash_tracker::generation() const
{
    const std::lock_guard lock(mutex_);
    return generation_;
}

void crash_tracker::make_room_for(const suspect& subject)
{
    if (crashes_.size() < max_tracked_suspects || crashes_.contains(subject))
    {
        return;
    }
    // Suspects of one crash are mostly bystanders; the cause comes again.
    std::erase_if(crashes_, [](const auto& it) { return it.second.size() < 2; });
}

void crash_tracker::remove_expired(time_point now)
{
    if (now - cleaned_at_ < cleaning_interval)
    {
        return;
    }
    cleaned_at_ = now;
    for (auto& [subject, crashes] : crashes_)
    {
        std::erase_if(crashes, [now](const auto& it) {
            return now - it.second.at >= report_lifetime;
        });
    }
    std::erase_if(crashes_, [](const auto& it) { return it.second.empty(); });
    std::erase_if(blocks_, [now](const auto& it) { return now >= it.second; });
    std::erase_if(successes_, [now](const auto& it) {
        return now >= std::max(it.second.keep_until, it.second.share_until);
    });
}

} // namespace pistachiopost
