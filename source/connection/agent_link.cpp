#include "connection/agent_link.hpp"

#include "connection/http2_session.hpp"
#include "process/logging.hpp"

#include <fmt/format.h>

#include <unordered_map>
#include <utility>

namespace pistachiopost {

namespace {

constexpr int connect_timeout_ms = 1'000;
// The link is closed if no load report arrives for this long.
constexpr milliseconds report_timeout{3'000};
constexpr milliseconds initial_retry_delay{50};
constexpr milliseconds max_retry_delay{2'000};

refusal link_lost(run_state state, std::string_view vm)
{
    return {refusal_reason::link_lost, state, fmt::format("the link to {} was lost", vm),
            milliseconds{0}};
}

} // namespace

/// One HTTP/2 connection to the agent; a reconnect creates a new one.
class agent_link::agent_connection
{
public:
    agent_connection(agent_link& owner, unique_fd sock)
        : owner_(owner), session_(session_side::client, std::move(sock), *this)
    {
    }

    /// Serves the connection until it closes.
    void run()
    {
        report_stream_ = session_.open(encode_request_headers(report_path), nullptr);
        last_report_ = steady::now();
        session_.run(steady::now);
    }

    /// Fails the attempts still open after run(). Called when no thread can submit
    /// to this connection any more.
    void fail_open_attempts()
    {
        closed_ = true;
        session_.run_posted();
        for (auto& [stream, it] : attempts_)
        {
            it.events->push(
                attempt_failed{link_lost(run_state::unknown, owner_.server_.vm)});
        }
    }

    void submit(attempt_order order, std::shared_ptr<const std::string> body,
                std::shared_ptr<event_queue> events)
    {
        session_.post([this, order = std::move(order), body = std::move(body),
                       events = std::move(events)] {
            if (closed_)
            {
                events->push(
                    attempt_failed{link_lost(run_state::not_run, owner_.server_.vm)});
                return;
            }
            const auto headers = encode_order(order);
            const auto stream = session_.open(headers, body);
            attempts_.emplace(stream, open_attempt{events, {}});
            owner_.directory_.count_sent(owner_.server_.vm, order.prompt_tokens,
                                         steady::now());
        });
    }

    void cancel(const std::shared_ptr<event_queue>& events)
    {
        session_.post([this, events] {
            for (const auto& [stream, it] : attempts_)
            {
                if (it.events == events)
                {
                    session_.cancel(stream);
                    return;
                }
            }
        });
    }

    void send_crash_record(const crash_record& record)
    {
        session_.post([this, record] {
            session_.open(encode_request_headers(crash_path),
                          std::make_shared<const std::string>(encode(record)));
        });
    }

    void stop() { session_.stop(); }

    void on_headers(std::int32_t /*stream*/, const header_map& /*headers*/) {}

    void on_data(std::int32_t stream, std::string_view bytes)
    {
        if (stream == report_stream_)
        {
            receive_reports(bytes);
            return;
        }
        const auto it = attempts_.find(stream);
        if (it == attempts_.end())
        {
            return;
        }
        it->second.reader.feed(bytes);
        while (auto message = it->second.reader.next())
        {
            if (auto* event = std::get_if<attempt_event>(&*message))
            {
                deliver_event(it->second, std::move(*event));
            }
        }
    }

    void on_end(std::int32_t stream)
    {
        const auto it = attempts_.find(stream);
        if (it != attempts_.end() && it->second.ended)
        {
            session_.cancel(stream); // stops the upload of the request body
        }
    }

    void on_close(std::int32_t stream)
    {
        const auto node = attempts_.extract(stream);
        if (!node.empty() && !node.mapped().ended)
        {
            node.mapped().events->push(
                attempt_failed{link_lost(run_state::unknown, owner_.server_.vm)});
        }
    }

    time_point on_tick(time_point now)
    {
        if (now >= last_report_ + report_timeout)
        {
            log(log_level::warn, "no load report from agent for 3 s; closing the link",
                {.backend = owner_.server_.vm});
            last_report_ = now;
            session_.stop();
        }
        return last_report_ + report_timeout;
    }

private:
    struct open_attempt
    {
        std::shared_ptr<event_queue> events;
        message_reader reader;
        bool ended = false;
    };

    static void deliver_event(open_attempt& attempt, attempt_event event)
    {
        attempt.ended = std::holds_alternative<answer_end>(event) ||
                        std::holds_alternative<attempt_failed>(event);
        attempt.events->push(std::move(event));
    }

    void receive_reports(std::string_view bytes)
    {
        reports_.feed(bytes);
        while (auto message = reports_.next())
        {
            if (const auto* report = std::get_if<load_report>(&*message))
            {
                last_report_ = steady::now();
                owner_.directory_.set_report(owner_.server_.vm, *report, last_report_);
                mark_linked();
            }
            else if (const auto* record = std::get_if<crash_record>(&*message))
            {
                owner_.on_crash_(*record);
            }
        }
    }

    /// Marks the link as up on the first load report.
    void mark_linked()
    {
        if (!std::exchange(marked_linked_, true))
        {
            owner_.directory_.set_linked(owner_.server_.vm, true, last_report_);
            owner_.failures_ = 0;
        }
    }

    agent_link& owner_;
    http2_session<agent_connection> session_;
    std::unordered_map<std::int32_t, open_attempt> attempts_;
    message_reader reports_;
    std::int32_t report_stream_ = 0;
    time_point last_report_;
    bool marked_linked_ = false;
    bool closed_ = false;
};

agent_link::agent_link(backend_server server, backend_directory& directory,
                       crash_callback on_crash)
    : server_(std::move(server)), directory_(directory), on_crash_(std::move(on_crash))
{
}

agent_link::~agent_link() = default;

void agent_link::submit(attempt_order order, std::shared_ptr<const std::string> body,
                        std::shared_ptr<event_queue> events)
{
    const std::lock_guard lock(mutex_);
    if (connection_)
    {
        connection_->submit(std::move(order), std::move(body), std::move(events));
        return;
    }
    events->push(attempt_failed{link_lost(run_state::not_run, server_.vm)});
}

void agent_link::cancel(const std::shared_ptr<event_queue>& events)
{
    if (const auto link = connection())
    {
        link->cancel(events);
    }
}

void agent_link::send_crash_record(const crash_record& record)
{
    if (const auto link = connection())
    {
        link->send_crash_record(record);
    }
}

void agent_link::run()
{
    while (serve_connection())
    {
        wait_before_reconnect();
    }
}

void agent_link::stop()
{
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
    if (connection_)
    {
        connection_->stop();
    }
}

/// Connects and serves one connection; returns whether to reconnect.
bool agent_link::serve_connection()
{
    try
    {
        auto sock = connect_tcp(server_.agent, connect_timeout_ms);
        const auto link = std::make_shared<agent_connection>(*this, std::move(sock));
        {
            const std::lock_guard lock(mutex_);
            if (stopped_)
            {
                return false;
            }
            connection_ = link;
        }
        link->run();
    }
    catch (const connection_error& it)
    {
        log(log_level::debug, it.what(), {.backend = server_.vm});
    }
    return end_connection();
}

/// Fails the attempts left open by the connection; returns whether to reconnect.
bool agent_link::end_connection()
{
    std::shared_ptr<agent_connection> ended;
    bool again = false;
    {
        const std::lock_guard lock(mutex_);
        ended = std::move(connection_);
        connection_.reset();
        ++failures_;
        again = !stopped_;
    }
    if (ended)
    {
        directory_.set_linked(server_.vm, false, steady::now());
        ended->fail_open_attempts();
    }
    return again;
}

void agent_link::wait_before_reconnect()
{
    std::unique_lock lock(mutex_);
    const auto doublings = std::min(failures_ - 1, 10U);
    const auto delay = std::min(initial_retry_delay * (1U << doublings), max_retry_delay);
    changed_.wait_for(lock, delay, [this] { return stopped_; });
}

std::shared_ptr<agent_link::agent_connection> agent_link::connection() const
{
    const std::lock_guard lock(mutex_);
    return connection_;
}

} // namespace pistachiopost
