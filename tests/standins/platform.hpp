/// \file
/// Simulated platform services and a simulated plain service.
#pragma once

#include <cstdint>
#include <string_view>

namespace pistachiopost::standins {

/// Serves a transactional table service; does not return. Faults (POST /faults):
/// `down`, `slow_ms`, `lose_answers` (number of transactions that are processed but
/// answered with an error).
int run_table(std::string_view address, std::uint16_t port);

/// Serves a list of VMs; does not return. POST /vms replaces it; readers see the change
/// after `lag_ms`.
int run_vm_list(std::string_view address, std::uint16_t port, std::uint32_t lag_ms);

/// Serves a plain service; does not return. It counts the executions of each request
/// body; GET /records returns the counts. Faults: `delay_ms`, `die_after_effect`.
int run_service(std::string_view address, std::uint16_t port);

} // namespace pistachiopost::standins
