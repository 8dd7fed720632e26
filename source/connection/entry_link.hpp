/// \file
/// Agent side of the HTTP/2 link from one entry: receives orders, sends events and
/// load reports. Each link runs on its own task.
#pragma once

#include "connection/http2_session.hpp"
#include "connection/message_codec.hpp"
#include "process/agent_state.hpp"
#include "process/logging.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pistachiopost {

/// Serves one link. Other threads reach the link's task through posted closures only.
template <queue_discipline Discipline>
class entry_link : public std::enable_shared_from_this<entry_link<Discipline>>
{
public:
    /// Takes ownership of an accepted socket.
    entry_link(unique_fd sock, agent_state<Discipline>& state)
        : state_(state), session_(session_side::server, std::move(sock), *this)
    {
    }

    /// Serves the link until it closes, then cancels its remaining attempts.
    void run()
    {
        const std::weak_ptr<entry_link> weak = this->weak_from_this();
        const auto listener =
            state_.add_crash_listener([weak](const crash_record& record) {
                if (const auto link = weak.lock())
                {
                    link->session_.post(
                        [raw = link.get(), record] { raw->send_crash_record(record); });
                }
            });
        session_.run(steady::now);
        state_.remove_crash_listener(listener);
        cancel_all();
    }

    /// Makes run() return. Thread-safe.
    void stop() { session_.stop(); }
    /// Schedules an immediate load report. Thread-safe.
    void schedule_report()
    {
        session_.post([this] { next_report_ = time_point{}; });
    }

    void on_headers(std::int32_t stream, const header_map& headers)
    {
        const auto path = headers.find(":path");
        const auto name = path == headers.end() ? std::string_view{} : path->second;
        session_.respond(stream);
        if (name == report_path)
        {
            report_streams_.push_back(stream);
            next_report_ = time_point{};
        }
        else if (name == attempt_path)
        {
            receive_order(stream, headers);
        }
        else if (name == crash_path)
        {
            crash_readers_[stream];
        }
    }

    void on_data(std::int32_t stream, std::string_view bytes)
    {
        if (const auto it = incoming_.find(stream); it != incoming_.end())
        {
            it->second.body.append(bytes);
            state_.count_body_bytes(static_cast<std::int64_t>(bytes.size()));
        }
        else if (const auto reader = crash_readers_.find(stream);
                 reader != crash_readers_.end())
        {
            receive_crash_records(reader->second, bytes);
        }
    }

    void on_end(std::int32_t stream)
    {
        auto node = incoming_.extract(stream);
        if (!node.empty())
        {
            queue_attempt(stream, std::move(node.mapped()));
        }
    }

    void on_close(std::int32_t stream)
    {
        if (auto node = incoming_.extract(stream); !node.empty())
        {
            release_body_bytes(node.mapped().body.size());
        }
        if (const auto node = tickets_.extract(stream); !node.empty())
        {
            state_.queue.cancel(node.mapped());
        }
        crash_readers_.erase(stream);
        std::erase(report_streams_, stream);
    }

    time_point on_tick(time_point now)
    {
        if (now >= next_report_)
        {
            send_report(now);
        }
        return next_report_;
    }

private:
    struct incoming_attempt
    {
        attempt_order order;
        std::string body;
    };

    static constexpr milliseconds report_interval{250};
    static constexpr milliseconds heartbeat_interval{1'000};

    void receive_order(std::int32_t stream, const header_map& headers)
    {
        try
        {
            auto order = decode_order(headers);
            if (auto why = state_.check_admission(order, steady::now()))
            {
                refuse(stream, std::move(*why));
                return;
            }
            incoming_.emplace(stream, incoming_attempt{std::move(order), {}});
        }
        catch (const codec_error& it)
        {
            refuse(stream, {refusal_reason::internal, run_state::not_run, it.what()});
        }
    }

    void queue_attempt(std::int32_t stream, incoming_attempt incoming)
    {
        const auto size = incoming.body.size();
        const std::weak_ptr<entry_link> weak = this->weak_from_this();
        const auto body = std::shared_ptr<const std::string>(
            new std::string(std::move(incoming.body)),
            [&state = state_, size](const std::string* it) {
                delete it;
                state.count_body_bytes(-static_cast<std::int64_t>(size));
            });
        const auto job = std::make_shared<attempt_job>(
            state_.next_ticket(), std::move(incoming.order), body,
            [weak, stream](attempt_event event) {
                post_event(weak, stream, std::move(event));
            },
            steady::now());
        tickets_.emplace(stream, job->id());
        if (auto why = state_.queue.add(job, steady::now()))
        {
            tickets_.erase(stream);
            refuse(stream, std::move(*why));
        }
    }

    static void post_event(const std::weak_ptr<entry_link>& weak, std::int32_t stream,
                           attempt_event event)
    {
        if (const auto link = weak.lock())
        {
            link->session_.post([raw = link.get(), stream, event = std::move(event)] {
                raw->send_event(stream, event);
            });
        }
    }

    void send_event(std::int32_t stream, const attempt_event& event)
    {
        session_.append(stream, encode(event));
        const bool last = std::holds_alternative<answer_end>(event) ||
                          std::holds_alternative<attempt_failed>(event);
        if (last)
        {
            tickets_.erase(stream);
            session_.finish(stream);
        }
    }

    void refuse(std::int32_t stream, refusal why)
    {
        send_event(stream, attempt_failed{std::move(why)});
    }

    void send_report(time_point now)
    {
        next_report_ = now + report_interval;
        auto report = state_.report(now);
        const bool due = now >= last_sent_ + heartbeat_interval;
        if (report_streams_.empty() || (report == last_report_ && !due))
        {
            return;
        }
        last_sent_ = now;
        for (const auto stream : report_streams_)
        {
            session_.append(stream, encode(report));
        }
        last_report_ = std::move(report);
    }

    void send_crash_record(const crash_record& record)
    {
        for (const auto stream : report_streams_)
        {
            session_.append(stream, encode(record));
        }
    }

    void receive_crash_records(message_reader& reader, std::string_view bytes)
    {
        reader.feed(bytes);
        while (auto message = reader.next())
        {
            if (const auto* record = std::get_if<crash_record>(&*message))
            {
                state_.add_crash_record(*record, steady::now());
            }
        }
    }

    void release_body_bytes(std::size_t n)
    {
        state_.count_body_bytes(-static_cast<std::int64_t>(n));
    }

    void cancel_all()
    {
        for (const auto& [stream, incoming] : incoming_)
        {
            release_body_bytes(incoming.body.size());
        }
        incoming_.clear();
        for (const auto& [stream, ticket] : tickets_)
        {
            state_.queue.cancel(ticket);
        }
        tickets_.clear();
    }

    agent_state<Discipline>& state_;
    http2_session<entry_link> session_;
    std::unordered_map<std::int32_t, incoming_attempt> incoming_;
    std::unordered_map<std::int32_t, ticket_id> tickets_;
    std::unordered_map<std::int32_t, message_reader> crash_readers_;
    std::vector<std::int32_t> report_streams_;
    load_report last_report_;
    time_point last_sent_;
    time_point next_report_;
};

} // namespace pistachiopost
