#include "process/memory_budget.hpp"

#include <malloc.h>
#include <sys/prctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace pistachiopost {

namespace {

// Levels of the uses, in eighths of the limit. Bodies leave an eighth to small requests,
// and all requests leave one to the answers of what was forwarded. With 260 MB, 32
// callers at once still send 3 MB each, the usual load of a deployment.
constexpr std::uint64_t level_parts = 8;
constexpr std::uint64_t body_level = 6;
constexpr std::uint64_t request_level = 7;

// Connections that were closed need about this long to give their memory back.
constexpr milliseconds recheck_interval{50};

} // namespace

std::uint64_t memory_budget::level(memory_use use) const
{
    switch (use)
    {
    case memory_use::body:
        return limit() / level_parts * body_level;
    case memory_use::request:
        return limit() / level_parts * request_level;
    case memory_use::answer:
        break;
    }
    return limit();
}

bool memory_budget::take(std::uint64_t n, memory_use use, time_point until)
{
    if (try_take(n, use))
    {
        return true;
    }
    if (n > level(use))
    {
        return false;
    }
    std::unique_lock lock(mutex_);
    ++waiting_;
    bool taken = false;
    for (auto now = steady::now();; now = steady::now())
    {
        taken = try_take(n, use);
        if (taken || now >= until)
        {
            break;
        }
        close_costliest(n, now);
        released_.wait_until(lock, std::min(until, now + recheck_interval));
    }
    --waiting_;
    return taken;
}

void memory_budget::give_back(std::uint64_t n)
{
    bytes_.give_back(n);
    if (waiting_ > 0)
    {
        const std::lock_guard lock(mutex_);
        released_.notify_all();
    }
}

void memory_budget::close_costliest(std::uint64_t wanted, time_point now)
{
    connection_memory* costliest = nullptr;
    double highest_cost = 0;
    std::uint64_t closing = 0; // bytes of connections that were closed already
    for (auto* it : connections_)
    {
        if (it->closed_)
        {
            closing += it->held_;
            continue;
        }
        const auto stalled = now - it->progress_at_.load();
        if (it->phase_ == connection_memory::phase::forwarding || stalled < stall_time)
        {
            continue;
        }
        const auto cost = static_cast<double>(it->held_) *
                          std::chrono::duration<double>(stalled).count();
        if (cost > highest_cost)
        {
            highest_cost = cost;
            costliest = it;
        }
    }
    if (costliest == nullptr || closing >= wanted)
    {
        return;
    }
    costliest->closed_ = true;
    // A caller whose request was being read still gets an answer.
    const bool reading = costliest->phase_ == connection_memory::phase::reading;
    ::shutdown(costliest->fd_, reading ? SHUT_RD : SHUT_RDWR);
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : budget_(other.budget_), use_(other.use_), taken_(std::exchange(other.taken_, 0))
{
}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept
{
    if (this != &other)
    {
        release();
        budget_ = other.budget_;
        use_ = other.use_;
        taken_ = std::exchange(other.taken_, 0);
    }
    return *this;
}

bool memory_charge::resize(std::uint64_t size, time_point until)
{
    if (budget_ == nullptr)
    {
        return true;
    }
    if (size > taken_ && !budget_->take(size - taken_, use_, until))
    {
        return false;
    }
    if (size < taken_)
    {
        budget_->give_back(taken_ - size);
    }
    taken_ = size;
    return true;
}

void memory_charge::release()
{
    if (taken_ > 0)
    {
        budget_->give_back(std::exchange(taken_, 0));
    }
}

connection_memory::connection_memory(memory_budget& budget, int fd)
    : budget_(budget), fd_(fd), connection_(budget, memory_use::request),
      request_(budget, memory_use::request), body_(budget, memory_use::body)
{
    const std::lock_guard lock(budget_.mutex_);
    budget_.connections_.insert(this);
}

connection_memory::~connection_memory()
{
    const std::lock_guard lock(budget_.mutex_);
    budget_.connections_.erase(this);
}

bool connection_memory::admit()
{
    return connection_.resize(connection_bytes, steady::now() + memory_budget::max_wait);
}

bool connection_memory::begin_request(time_point now)
{
    if (!request_.resize(request_bytes, now + memory_budget::max_wait))
    {
        return false;
    }
    held_ = request_bytes;
    set_phase(phase::reading, now);
    return true;
}

bool connection_memory::cover_body(std::uint64_t size, time_point now)
{
    const auto covered = small_body_bytes + body_.bytes();
    if (size <= covered)
    {
        return true;
    }
    if (!body_.resize(size - small_body_bytes, now))
    {
        // A connection that waits for memory is not read, so it is not the caller's fault
        // that it makes no progress.
        set_phase(phase::forwarding, now);
        const bool taken =
            body_.resize(size - small_body_bytes, now + memory_budget::max_body_wait);
        set_phase(phase::reading, steady::now());
        if (!taken)
        {
            return false;
        }
    }
    held_ = request_bytes + body_.bytes();
    return true;
}

void connection_memory::record_progress(std::uint64_t n, time_point now)
{
    since_progress_ += n;
    if (since_progress_ >= memory_budget::progress_bytes)
    {
        since_progress_ = 0;
        progress_at_ = now;
    }
}

bool connection_memory::begin_forwarding(std::uint64_t body_bytes, time_point now)
{
    set_phase(phase::forwarding, now);
    if (body_bytes < small_body_bytes + body_.bytes())
    {
        body_.resize(body_bytes - std::min(body_bytes, small_body_bytes), now);
        held_ = request_bytes + body_.bytes();
    }
    return !closed_;
}

void connection_memory::begin_sending(std::uint64_t answer_bytes, time_point now)
{
    held_ = request_bytes + body_.bytes() + answer_bytes;
    set_phase(phase::sending, now);
}

void connection_memory::end_request()
{
    set_phase(phase::forwarding, progress_at_);
    held_ = 0;
    body_.release();
    request_.release();
}

void connection_memory::set_phase(phase it, time_point now)
{
    // Another task chooses a connection under the same lock, so that it never closes one
    // whose request has been forwarded.
    const std::lock_guard lock(budget_.mutex_);
    since_progress_ = 0;
    progress_at_ = now;
    phase_ = it;
}

void bound_allocator()
{
    // By default the thresholds grow with the buffers that are freed, up to 32 MB, and a
    // process on many cores has eight arenas for each. The platform asks for two, too.
    constexpr int mmap_threshold_bytes = 131'072;
    constexpr int trim_threshold_bytes = 131'072;
    constexpr int arenas = 2;
    // A huge page makes 2 MB of a buffer resident at its first byte.
    prctl(PR_SET_THP_DISABLE, 1, 0, 0, 0);
    mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
    mallopt(M_ARENA_MAX, arenas);
}

} // namespace pistachiopost
