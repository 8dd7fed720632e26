// Faults of the store and of the links to it.
#include "soak/fault_injector.hpp"

#include <fmt/format.h>

#include <array>

namespace pistachiopost::soak {

namespace {

// Changes that are lost with each return of the store from a copy.
constexpr int lost_changes = 40;

} // namespace

void fault_injector::disturb_store()
{
    constexpr std::array modes{store_mode::refusing, store_mode::silent, store_mode::slow,
                               store_mode::dropping_answers};
    const auto which = random_() % (modes.size() + 1);
    if (which == modes.size())
    {
        compact_store();
        return;
    }
    begin(fmt::format("store mode {}", which + 1), pick_duration(),
          [this] { target_.store.set_mode(store_mode::normal); });
    target_.store.set_mode(modes[which]);
}

void fault_injector::compact_store()
{
    begin("store compacts its history", milliseconds{0}, [] {});
    target_.store.compact_history();
}

void fault_injector::disturb_store_link()
{
    constexpr std::array modes{proxy_mode::reset, proxy_mode::cut_answers,
                               proxy_mode::cut_requests, proxy_mode::silent};
    const auto i = pick_gateway();
    const auto which = random_() % modes.size();
    auto& link = *target_.gateways[i].store_link;
    begin(
        fmt::format("link {} of gateway {} and the store", which, i), pick_duration(),
        [&link] { link.set_mode(proxy_mode::forward); }, i);
    link.set_mode(modes[which]);
}

/// The store is away for a moment and returns without the changes of some seconds, which
/// their authors write again. A further change follows when it has settled.
void fault_injector::restore_store()
{
    const auto now = steady::now();
    if (now < next_change_at_)
    {
        return;
    }
    const milliseconds away{100 + random_() % 900};
    const milliseconds age{1'000 + random_() % 4'000};
    const milliseconds rewritten = 2 * away + milliseconds{random_() % 1'500};
    // Longer than the pause after which an ended disturbance is recorded.
    constexpr milliseconds margin{1'000};
    next_change_at_ = now + rewritten + settling_time + margin;
    change_is_due_ = true;
    const bool again = random_() % 3 == 0; // before the system has settled
    const auto mode = random_() % 2 == 0 ? store_mode::refusing : store_mode::silent;
    begin("store returns from a copy", away, [this, age] {
        target_.store.restore_copy(age);
        target_.store.set_mode(store_mode::normal);
    });
    if (again)
    {
        begin("store returns from a copy again", away + rewritten / 2,
              [this, age] { target_.store.restore_copy(age); });
    }
    begin("store gets lost rows again", rewritten,
          [this] { target_.store.rewrite_lost(); });
    for (int n = 0; n < lost_changes; ++n)
    {
        target_.store.write("status", "load", std::to_string(random_()));
    }
    target_.store.set_mode(mode);
}

/// A change makes the store answer the calls that wait. A store that leaves some gateways
/// unanswered counts as disturbed for all of them, so a further change follows when it
/// has settled.
void fault_injector::lose_store_answers()
{
    const auto now = steady::now();
    if (now < next_change_at_)
    {
        return;
    }
    const auto duration = pick_duration();
    // Longer than the pause after which an ended disturbance is recorded.
    constexpr milliseconds margin{1'000};
    next_change_at_ = now + duration + settling_time + margin;
    change_is_due_ = true;
    for (std::size_t i = 0; i < target_.gateways.size(); ++i)
    {
        if (random_() % 3 == 0)
        {
            continue;
        }
        auto& link = *target_.gateways[i].store_link;
        begin(
            fmt::format("store loses its answers to gateway {}", i), duration,
            [&link] { link.set_mode(proxy_mode::forward); }, i);
        link.set_mode(proxy_mode::lose_answers);
    }
    change_configuration();
}

} // namespace pistachiopost::soak
