/// \file
/// Settings of a process. Fixed for its lifetime, except for those of a gateway that
/// settings_reloader applies.
#pragma once

#include "connection/unique_fd.hpp"
#include "process/dispatch_window.hpp"
#include "process/logging.hpp"
#include "process/service_retry_budgets.hpp"
#include "request/request.hpp"
#include "request/retry_policy.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>

namespace pistachiopost {

/// Name and location of a process, and its log level.
struct identity
{
    std::string vm;   ///< Name of the VM, unique across all VMs.
    std::string zone; ///< Availability zone.
    std::string region;
    log_level min_log_level = log_level::info;
};

/// How an entry chooses a backend server.
enum class load_balancing_policy
{
    two_choices,  ///< The one of two with the shorter expected wait, with cache affinity.
    least_loaded, ///< Fewest running and queued attempts.
    round_robin   ///< Each backend server in turn.
};

/// How an agent orders queued attempts.
enum class queue_policy
{
    fair, ///< Weighted fair queueing by customer.
    fifo  ///< Arrival order.
};

/// Settings of an entry.
struct entry_settings
{
    identity self;
    endpoint listen;
    endpoint table_service;
    endpoint vm_list;
    std::uint32_t max_connections = 512;
    std::uint64_t max_body_bytes = 8U << 20U;
    milliseconds default_deadline{30'000};
    milliseconds max_deadline{600'000};
    milliseconds stop_delay{0}; ///< From readiness failure to the close of the listener.
    milliseconds poll_interval{1'000};
    load_balancing_policy choice = load_balancing_policy::two_choices;
    std::uint32_t subset_size = 24; ///< Backend servers linked for each model or service.
    std::uint32_t max_links = 120;  ///< Links for all models and services together.
    double short_share = 0.125;     ///< Share of backend servers for short prompts only.
    double retry_share = 0.1;       ///< Share of traffic that may be retries.
    retry_limits retries;
};

/// Settings of an agent.
struct agent_settings
{
    identity self;
    endpoint listen;
    endpoint backend;
    work_kind kind = work_kind::completion;
    std::string serves; ///< Model or service name.
    queue_policy queue = queue_policy::fair;
    dispatch_limits limits;
    std::uint64_t max_body_bytes = 64U << 20U; ///< All bodies held in memory.
    milliseconds hang_timeout{3'000};          ///< Silence after which a stream has hung.
    milliseconds stop_grace{60'000};
};

/// Settings of a gateway.
struct gateway_settings
{
    identity self;
    endpoint listen;    ///< For callers.
    endpoint readiness; ///< For readiness checks of the load balancer.
    endpoint metrics;   ///< For metrics collectors.
    endpoint peers;     ///< For other gateways, by UDP and TCP.
    endpoint store;     ///< Store of the platform.
    double cores = 1;   ///< Processor share of the VM.
    std::uint64_t memory_bytes = 256U << 20U;   ///< Of the VM.
    std::uint64_t max_answer_bytes = 8U << 20U; ///< Of a plain call's answer.
    std::uint64_t max_event_bytes = 1U << 20U;  ///< Of one event of a stream.
    std::uint32_t max_connections = 1'300; ///< A third of the descriptors of an entry VM.
    repeat_limits repeats;
    std::map<std::string, std::string, std::less<>> zone_regions; ///< Region by zone.
    milliseconds stop_grace{8'000}; ///< From the stop signal to SIGKILL by the platform.
};

/// Settings of any role.
using process_settings = std::variant<entry_settings, agent_settings, gateway_settings>;

} // namespace pistachiopost
