/// A dozen gateways that exchange reports over UDP on the loopback interface.
#include "connection/codec_error.hpp"
#include "connection/load_report_codec.hpp"
#include "connection/peer_link.hpp"
#include "process/task.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <limits>
#include <memory>
#include <thread>
#include <vector>

using namespace pistachiopost;

namespace {

/// One gateway of zone "z" with its tasks.
class node
{
public:
    explicit node(const gateway_record& self)
        : directory(self, steady::now()), dispatch(self.zone, self.name),
          link(directory, dispatch, crashes, budgets),
          sender([this] { link.run_sender(stop); }),
          receiver([this] { link.run_receiver(end.get()); })
    {
        const backend_record record{"i-1", "plain", {"10.0.0.1", 80}, "z", 100, false, 1};
        dispatch.update_registry(steady::now(),
                                 [&](auto& it) { it.upsert(record, steady::now()); });
    }

    ~node()
    {
        stop.set();
        signal_event_fd(end);
        sender.join();
        receiver.join();
    }

    node(const node&) = delete;
    node& operator=(const node&) = delete;

    [[nodiscard]] std::uint32_t known_requests()
    {
        for (const auto& it : dispatch.digest(steady::now()).loads)
        {
            return it.load.requests;
        }
        return 0;
    }

    gateway_directory directory;
    dispatcher dispatch;
    crash_tracker crashes;
    service_retry_budgets budgets{repeat_limits()};
    unique_fd end = open_event_fd();
    stop_flag stop;
    peer_link link;
    task sender;
    task receiver;
};

struct peer_fixture
{
    peer_fixture()
    {
        for (std::uint16_t i = 0; i < count; ++i)
        {
            const auto address = fmt::format("127.77.{}.{}", 1 + getpid() % 250, 1 + i);
            records.push_back({fmt::format("g-{}", i), {address, 7340}, "z", 0.5});
        }
        for (const auto& it : records)
        {
            nodes.push_back(std::make_unique<node>(it));
        }
        // Each knows only those that started before it, as from the table of gateways.
        for (std::size_t i = 0; i < count; ++i)
        {
            nodes[i]->directory.add_published(std::span(records).first(i), steady::now());
        }
    }

    /// Waits until `holds` is true for all nodes.
    bool eventually(const std::function<bool(node&)>& holds)
    {
        const auto until = steady::now() + seconds{20};
        for (auto& it : nodes)
        {
            while (!holds(*it))
            {
                if (steady::now() >= until)
                {
                    return false;
                }
                std::this_thread::sleep_for(milliseconds{5});
            }
        }
        return true;
    }

    /// Sends bytes to a node from an address that is no gateway.
    void send_foreign(std::size_t to, std::string_view bytes) const
    {
        const unique_fd sock(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
        const auto addr = to_sockaddr(records[to].address);
        cr_assert_geq(::sendto(sock.get(), bytes.data(), bytes.size(), 0,
                               reinterpret_cast<const sockaddr*>(&addr), sizeof addr),
                      0);
    }

    static constexpr std::size_t count = 12;
    std::vector<gateway_record> records;
    std::vector<std::unique_ptr<node>> nodes;
};

} // namespace

Test(peer_link, gateways_learn_of_later_ones_by_their_messages)
{
    peer_fixture it;
    cr_assert(it.eventually(
        [](node& one) { return one.directory.size() == peer_fixture::count; }));
}

Test(peer_link, placements_become_known_to_all_and_releases_too)
{
    peer_fixture it;
    placement_request request;
    request.service = "plain";
    std::vector<placement> places;
    for (auto& one : it.nodes)
    {
        places.push_back(*one->dispatch.try_place("ann", request, steady::now()));
    }
    cr_assert(it.eventually(
        [](node& one) { return one.known_requests() == peer_fixture::count; }));
    for (std::size_t i = 0; i < it.nodes.size(); ++i)
    {
        it.nodes[i]->dispatch.release(places[i], steady::now());
    }
    cr_assert(it.eventually([](node& one) { return one.known_requests() == 0; }));
}

/// A report crosses to another zone once; without its being forwarded there, the other
/// gateways of that zone would place requests on servers that are full.
Test(peer_link, placement_becomes_known_to_all_gateways_of_another_zone)
{
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<gateway_record> records;
    for (std::uint16_t i = 0; i < 5; ++i)
    {
        const auto address = fmt::format("127.78.{}.{}", 1 + getpid() % 250, 1 + i);
        records.push_back(
            {fmt::format("g-{}", i), {address, 7340}, i == 0 ? "z" : "y", 0.5});
        nodes.push_back(std::make_unique<node>(records.back()));
    }
    const auto until = steady::now() + seconds{20};
    for (auto& it : nodes)
    {
        it->directory.add_published(records, steady::now());
        // Its only slot tells whether the placement is known.
        const backend_record record{"i-1", "plain", {"10.0.0.1", 80}, "z", 1, false, 1};
        it->dispatch.update_registry(
            steady::now(), [&](auto& one) { one.upsert(record, steady::now()); });
    }
    placement_request request;
    request.service = "plain";
    const auto place = nodes[0]->dispatch.try_place("ann", request, steady::now());
    cr_assert(place.has_value());
    for (auto& it : nodes)
    {
        while (it->dispatch.snapshot("plain", steady::now()).with_slot > 0)
        {
            cr_assert_lt(steady::now(), until, "%s", it->directory.self().name.c_str());
            std::this_thread::sleep_for(milliseconds{5});
        }
    }
}

Test(peer_link, request_that_crashes_backend_servers_is_blocked_at_all_gateways)
{
    peer_fixture it;
    const auto now = steady::now();
    const std::vector<suspect> request{{42, suspect_kind::request}};
    for (std::size_t i = 0; i < 3; ++i)
    {
        it.nodes[i]->crashes.add_broken_attempt(request, {fmt::format("i-{}", i), 1},
                                                answer_progress::none, now);
    }
    cr_assert(it.eventually([&](node& one) {
        return one.crashes.find_blocked(request, steady::now()).has_value();
    }));
}

Test(peer_link, prompt_part_that_crashed_servers_at_several_gateways_is_blocked_at_all)
{
    peer_fixture it;
    const std::vector<suspect> part{{42, suspect_kind::prompt_part}};
    for (std::size_t i = 0; i < 3; ++i)
    {
        it.nodes[i]->crashes.add_broken_attempt(part, {"i-1", static_cast<int>(i)},
                                                answer_progress::begun, steady::now());
        std::this_thread::sleep_for(milliseconds{300});
    }
    cr_assert(it.eventually([&](node& one) {
        return one.crashes.find_blocked(part, steady::now()).has_value();
    }));
}

Test(peer_link, success_at_one_gateway_clears_a_prompt_part_at_all)
{
    peer_fixture it;
    const std::vector<suspect> part{{42, suspect_kind::prompt_part}};
    for (int i = 0; i < 3; ++i)
    {
        it.nodes[0]->crashes.add_broken_attempt(part, {"i-1", i}, answer_progress::begun,
                                                steady::now());
        std::this_thread::sleep_for(milliseconds{300});
    }
    const auto is_blocked = [&](node& one) {
        return one.crashes.find_blocked(part, steady::now()).has_value();
    };
    cr_assert(it.eventually(is_blocked));
    it.nodes[5]->crashes.record_success(part, steady::now());
    cr_assert(it.eventually([&](node& one) { return !is_blocked(one); }));
}

Test(peer_link, report_of_crashes_is_decoded_as_it_was_encoded)
{
    load_report_message message;
    message.gateway = "g-1";
    message.crashes.crashes = {
        {{7, suspect_kind::request}, {"i-1", 1'700'000'000'000}, false, milliseconds{20}},
        {{~0ULL, suspect_kind::prompt_part}, {"i-2", 0}, true, milliseconds{0}}};
    message.crashes.blocks = {{{8, suspect_kind::prompt_part}, milliseconds{299'000}}};
    message.crashes.clearances = {{{9, suspect_kind::request}, milliseconds{5}}};
    cr_assert(decode_load_report(encode_load_report(message)).crashes == message.crashes);
}

// Guards against gateways that do not understand each other while versions are mixed.
Test(peer_link, waiting_work_of_an_earlier_version_is_read)
{
    load_report_message message;
    message.waiting = {{"model", true, 2, 1'500}};
    const auto bytes = encode_load_report(message);
    cr_assert(decode_load_report(bytes).waiting == message.waiting);
    auto body = nlohmann::json::from_msgpack(bytes);
    body[10] = nlohmann::json::array({nlohmann::json::array({"model", true})});
    const auto earlier = nlohmann::json::to_msgpack(body);
    const std::vector<waiting_work> expected{{"model", true, 0, 0}};
    cr_assert(decode_load_report(std::string(earlier.begin(), earlier.end())).waiting ==
              expected);
}

Test(peer_link, report_of_an_earlier_version_names_no_era_of_the_store)
{
    load_report_message message;
    message.store.changes = {store_version(2, 5), store_version(2, 6)};
    const auto bytes = encode_load_report(message);
    cr_assert(decode_load_report(bytes).store == message.store);
    auto body = nlohmann::json::from_msgpack(bytes);
    body[8].erase(3);
    const auto earlier = nlohmann::json::to_msgpack(body);
    message.store.changes = {store_version(0, 5), store_version(0, 6)};
    cr_assert(decode_load_report(std::string(earlier.begin(), earlier.end())).store ==
              message.store);
}

Test(peer_link, report_of_a_gateway_that_states_no_address_is_decoded)
{
    load_report_message message;
    message.gateway = "g-1";
    auto body = nlohmann::json::from_msgpack(encode_load_report(message));
    body.erase(12);
    body.erase(11);
    const auto bytes = nlohmann::json::to_msgpack(body);
    const auto decoded = decode_load_report(std::string(bytes.begin(), bytes.end()));
    cr_assert_eq(decoded.gateway, "g-1");
    cr_assert_eq(decoded.address.port, 0);
    cr_assert_not(decoded.forward);
}

Test(peer_link, malformed_report_of_crashes_is_rejected)
{
    const auto is_rejected = [](const nlohmann::json& crashes) {
        load_report_message message;
        const auto good = encode_load_report(message);
        auto body = nlohmann::json::from_msgpack(good);
        body[4] = crashes;
        const auto bytes = nlohmann::json::to_msgpack(body);
        try
        {
            decode_load_report(std::string(bytes.begin(), bytes.end()));
        }
        catch (const codec_error&)
        {
            return true;
        }
        return false;
    };
    using nlohmann::json;
    const auto empty = json::array();
    cr_assert_not(is_rejected({empty, empty, empty}));
    cr_assert(is_rejected({empty, empty}));
    cr_assert(is_rejected({json::array({1}), empty, empty}));
    // An unknown kind, a negative age, a lifetime above 32 bits, a text for a number.
    cr_assert(is_rejected({json::array({{{1, 2}, "i-1", 0, true, 0}}), empty, empty}));
    cr_assert(is_rejected({json::array({{{1, 1}, "i-1", 0, true, -1}}), empty, empty}));
    cr_assert(is_rejected({empty, json::array({{{1, 1}, 5'000'000'000}}), empty}));
    cr_assert(is_rejected({empty, empty, json::array({{{1, 1}, "x"}})}));
}

Test(peer_link, retries_of_one_gateway_use_up_the_budget_of_all)
{
    peer_fixture it;
    cr_assert(it.eventually([](node& one) {
        const auto now = steady::now();
        one.budgets.set_gateway_count(peer_fixture::count, now);
        one.budgets.set_live_gateways(one.directory.live_in_cell(now), now);
        return one.directory.live_in_cell(now) == peer_fixture::count;
    }));
    // Known with no retries first, as after a start.
    for (auto& one : it.nodes)
    {
        one->budgets.earn("plain", steady::now());
        one->dispatch.request_report();
    }
    std::this_thread::sleep_for(milliseconds{700});
    while (it.nodes[0]->budgets.try_spend("plain", steady::now()))
    {
        (void)it.nodes[0]
            ->budgets.take_counts(); // as when each retry is reported at once
    }
    std::this_thread::sleep_for(milliseconds{700}); // a heartbeat
    // What is refilled meanwhile allows one retry, before it is reported.
    int spent = 0;
    while (it.nodes[1]->budgets.try_spend("plain", steady::now()))
    {
        ++spent;
    }
    cr_assert_leq(spent, 1);
}

Test(peer_link, malformed_datagrams_change_nothing)
{
    peer_fixture it;
    for (const char* bytes : {"", "x", "\xdd\xff\xff\xff\xff", "\x91\xc0", "\x9b\x01"})
    {
        it.send_foreign(0, bytes);
    }
    cr_assert(it.eventually(
        [](node& one) { return one.directory.size() == peer_fixture::count; }));
    cr_assert_eq(it.nodes[0]->known_requests(), 0U);
}

Test(peer_link, datagram_of_deeply_nested_arrays_is_ignored)
{
    constexpr std::size_t datagram_bytes = 32'768;
    peer_fixture it;
    for (const char nested : {'\x91', '\x81'}) // an array or a map of one element
    {
        it.send_foreign(0, std::string(datagram_bytes, nested));
    }
    cr_assert(it.eventually(
        [](node& one) { return one.directory.size() == peer_fixture::count; }));
}

Test(peer_link, report_whose_cores_are_no_finite_number_is_rejected)
{
    load_report_message message;
    message.gateway = "other";
    message.cores = 0.5;
    cr_assert_eq(decode_load_report(encode_load_report(message)).cores, 0.5);
    for (const double cores : {std::numeric_limits<double>::quiet_NaN(),
                               std::numeric_limits<double>::infinity(), -1.0})
    {
        message.cores = cores;
        cr_assert_throw(decode_load_report(encode_load_report(message)), codec_error,
                        "cores %f", cores);
    }
}

Test(peer_link, late_and_repeated_reports_do_not_replace_newer_ones)
{
    peer_fixture it;
    load_report_message message;
    message.gateway = "other";
    message.zone = "z";
    message.boot = 1;
    message.sequence = 2;
    message.loads = {{"i-1", {5, 0, 0, 0}}};
    it.send_foreign(0, encode_load_report(message));
    while (it.nodes[0]->known_requests() != 5)
    {
        std::this_thread::sleep_for(milliseconds{1});
    }
    message.sequence = 1;
    message.loads[0].load.requests = 9;
    it.send_foreign(0, encode_load_report(message));
    it.send_foreign(0, encode_load_report(message));
    message.gateway = "third";
    message.loads[0].load.requests = 1;
    it.send_foreign(0, encode_load_report(message));
    while (it.nodes[0]->known_requests() < 6)
    {
        std::this_thread::sleep_for(milliseconds{1});
    }
    cr_assert_eq(it.nodes[0]->known_requests(), 6U);
}
