#include "request/attempt_job.hpp"

#include <utility>

namespace pistachiopost {

attempt_job::attempt_job(ticket_id id, attempt_order order,
                         std::shared_ptr<const std::string> body, event_sink sink,
                         time_point now)
    : id_(id), order_(std::move(order)), body_(std::move(body)), sink_(std::move(sink)),
      deadline_(now + order_.remaining)
{
}

queue_ticket attempt_job::ticket() const
{
    auto it = make_ticket(id_, order_, time_point{});
    it.deadline = deadline_;
    return it;
}

void attempt_job::send(attempt_event event)
{
    if (!cancelled())
    {
        sink_(std::move(event));
    }
}

void attempt_job::cancel()
{
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
    cancelled_changed_.notify_all();
    if (interrupt_)
    {
        interrupt_();
    }
}

bool attempt_job::cancelled() const
{
    const std::lock_guard lock(mutex_);
    return cancelled_;
}

void attempt_job::wait_until_cancelled()
{
    std::unique_lock lock(mutex_);
    cancelled_changed_.wait_until(lock, deadline_, [this] { return cancelled_; });
}

void attempt_job::set_interrupt(std::function<void()> interrupt)
{
    const std::lock_guard lock(mutex_);
    interrupt_ = std::move(interrupt);
    if (cancelled_ && interrupt_)
    {
        interrupt_();
    }
}

queue_ticket make_ticket(ticket_id id, const attempt_order& order, time_point now)
{
    queue_ticket it;
    it.id = id;
    it.customer = order.customer;
    it.weight = order.weight;
    it.prompt_tokens = order.prompt_tokens;
    it.output_tokens = order.output_tokens;
    it.deadline = now + order.remaining;
    it.isolated = order.isolated;
    const bool reserves = order.kind == work_kind::reservation;
    it.reserved_tokens = reserves ? order.reserved_tokens : 0;
    it.remote_tokens = reserves ? 0 : order.reserved_tokens;
    return it;
}

} // namespace pistachiopost
