/// Sound backend servers that stop sending for longer than the limit on the pause between
/// events and go on. A silence alone must not end an answer.
#include "gateway_fixture.hpp"

#include <thread>

using namespace pistachiopost;

namespace {

constexpr milliseconds long_silence{1'400};

/// Where a scripted backend server falls silent.
enum class silence_before
{
    head,
    first_event,
    second_event,
    end
};

/// Answers with a stream of two events and one silence.
scripted_backend::script stream_with_silence(silence_before where)
{
    return [where](tcp_stream& stream, const received_request& request) {
        const auto pause_before = [&](silence_before step) {
            if (step == where)
            {
                std::this_thread::sleep_for(long_silence);
            }
        };
        pause_before(silence_before::head);
        begin_event_stream(stream, request);
        pause_before(silence_before::first_event);
        send_chunk(stream, event(1));
        pause_before(silence_before::second_event);
        send_chunk(stream, event(2));
        pause_before(silence_before::end);
        send_text(stream, "0\r\n\r\n");
    };
}

void check_complete_after(silence_before where)
{
    scripted_backend server(stream_with_silence(where));
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert_eq(answer.head.status, 200);
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2));
    cr_assert_eq(server.requests().size(), 1U);
}

} // namespace

Test(gateway_silence, stream_silent_before_its_head_is_complete)
{
    check_complete_after(silence_before::head);
}

Test(gateway_silence, stream_silent_before_its_first_event_is_complete)
{
    check_complete_after(silence_before::first_event);
}

Test(gateway_silence, stream_silent_between_events_is_complete)
{
    check_complete_after(silence_before::second_event);
}

Test(gateway_silence, stream_silent_before_its_end_is_complete)
{
    check_complete_after(silence_before::end);
}

Test(gateway_silence, silent_stream_whose_retry_budget_is_spent_is_complete)
{
    const scripted_backend one(stream_with_silence(silence_before::second_event));
    const scripted_backend two(stream_with_silence(silence_before::second_event));
    gateway_fixture gateway;
    gateway.settings.repeats = {0, 0, seconds{10}};
    gateway.state->apply(gateway.settings);
    gateway.add_backend(one, "i-1", "model");
    gateway.add_backend(two, "i-2", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2));
}

Test(gateway_silence, silent_stream_whose_alternatives_are_full_is_complete)
{
    scripted_backend silent(stream_with_silence(silence_before::second_event));
    scripted_backend full([](auto& stream, const auto& request) {
        begin_event_stream(stream, request);
        send_chunk(stream, event(1));
        send_chunk(stream, event(2));
        send_text(stream, "0\r\n\r\n");
    });
    gateway_fixture gateway;
    gateway.add_backend(silent, "i-1", "model");
    auto caller = gateway.connect();
    send_text(caller, gateway_fixture::request("/stream/x", prompt_headers(1'000)));
    wait_readable(caller.fd(), -1, steady::now() + seconds{5});
    const backend_record busy{"i-2", "model", full.address, "z", 0, false, 1};
    gateway.state->dispatch.update_registry(
        steady::now(), [&](auto& it) { it.upsert(busy, steady::now()); });
    const auto answer = gateway_fixture::read_answer(caller);
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2));
    cr_assert(full.requests().empty());
}

Test(gateway_silence, silent_request_whose_route_forbids_repeats_is_complete)
{
    const scripted_backend one(stream_with_silence(silence_before::second_event));
    const scripted_backend two(stream_with_silence(silence_before::second_event));
    gateway_fixture gateway;
    gateway.add_backend(one, "i-1", "model");
    gateway.add_backend(two, "i-2", "model");
    const auto answer = gateway.send_request("/fixed/x", prompt_headers(1'000));
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2));
}

Test(gateway_silence, stream_of_a_backend_server_that_stays_silent_ends_by_the_deadline)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        begin_event_stream(stream, request);
        send_chunk(stream, event(1));
        wait_readable(stream.fd(), -1, steady::now() + seconds{8});
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "model");
    const auto began = steady::now();
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert_not(answer.complete);
    cr_assert_eq(answer.body, event(1));
    const auto elapsed = steady::now() - began;
    cr_assert(elapsed > milliseconds{2'500});
    cr_assert(elapsed < seconds{5});
}

Test(gateway_silence, stream_silent_within_an_event_is_complete)
{
    const scripted_backend server([](auto& stream, const auto& request) {
        begin_event_stream(stream, request);
        send_chunk(stream, event(1));
        std::this_thread::sleep_for(milliseconds{800});
        send_chunk(stream, "id: 2\nda");
        std::this_thread::sleep_for(milliseconds{500});
        send_chunk(stream, "ta: e2\n\n");
        send_text(stream, "0\r\n\r\n");
    });
    gateway_fixture gateway;
    gateway.add_backend(server, "i-1", "model");
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2));
}

Test(gateway_silence, silent_stream_is_not_moved_to_an_ejected_backend_server)
{
    scripted_backend silent(stream_with_silence(silence_before::second_event));
    scripted_backend ejected([](auto&, const auto&) {}); // closes without an answer
    gateway_fixture gateway;
    gateway.add_backend(silent, "i-1", "model");
    gateway.add_backend(ejected, "i-2", "model");
    gateway.state->dispatch.update_registry(steady::now(), [](auto& it) {
        for (int i = 0; i < 7; ++i)
        {
            it.record_failure("i-2", steady::now());
        }
    });
    const auto answer = gateway.send_request("/stream/x", prompt_headers(1'000));
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2));
    cr_assert(ejected.requests().empty());
}

Test(gateway_silence, silent_stream_is_moved_once_the_retry_budget_allows)
{
    const scripted_backend silent([](auto& stream, const auto& request) {
        begin_event_stream(stream, request);
        send_chunk(stream, event(1));
        wait_readable(stream.fd(), -1, steady::now() + seconds{8});
    });
    const scripted_backend other([](auto& stream, const auto& request) {
        send_event_stream(stream, request, 2, 2);
    });
    gateway_fixture gateway;
    gateway.settings.repeats = {0, 0, seconds{10}};
    gateway.state->apply(gateway.settings);
    gateway.add_backend(silent, "i-1", "model");
    auto caller = gateway.connect();
    send_text(caller, gateway_fixture::request("/stream/x", prompt_headers(1'000)));
    wait_readable(caller.fd(), -1, steady::now() + seconds{5});
    gateway.add_backend(other, "i-2", "model");
    std::this_thread::sleep_for(milliseconds{1'200});
    gateway.settings.repeats = {1, 100, seconds{10}};
    gateway.state->apply(gateway.settings);
    const auto answer = gateway_fixture::read_answer(caller);
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2));
}

Test(gateway_silence, stream_that_breaks_off_late_waits_for_a_place_elsewhere)
{
    const scripted_backend breaking([](auto& stream, const auto& request) {
        begin_event_stream(stream, request);
        for (int i = 1; i <= 4; ++i)
        {
            send_chunk(stream, event(i));
            std::this_thread::sleep_for(milliseconds{550});
        }
    });
    const scripted_backend other([](auto& stream, const auto& request) {
        send_event_stream(stream, request, 5, 5);
    });
    gateway_fixture gateway;
    gateway.add_backend(breaking, "i-1", "model");
    auto caller = gateway.connect();
    send_text(caller, gateway_fixture::request("/stream/x", prompt_headers(1'000)));
    std::this_thread::sleep_for(milliseconds{2'400}); // broken off after 2.2 s
    gateway.add_backend(other, "i-2", "model");
    const auto answer = gateway_fixture::read_answer(caller);
    cr_assert(answer.complete);
    cr_assert_eq(answer.body, event(1) + event(2) + event(3) + event(4) + event(5));
}
