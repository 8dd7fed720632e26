#!/usr/bin/env bash
# Checks the layering: decision code must not include HTTP, nghttp2, JSON or msgpack headers
# or read a clock, and code outside platform/ must not contain protocol names of the platform.
# Encoding is allowed only in source/connection, in *_document.cpp files and in json_reader.
set -euo pipefail
cd "$(dirname "$0")/.."

codec_headers='#include <(httplib|nghttp2/|nlohmann|msgpack)'
codec_files='^source/connection/|_document\.cpp$|^source/process/json_reader\.(cpp|hpp)$'
violations=$(grep -rlE "$codec_headers" source | grep -vE "$codec_files" || true)
if [ -n "$violations" ]; then
  echo "decision code must not include a codec:" >&2
  echo "$violations" >&2
  exit 1
fi

clock_reads='(steady|system_clock)::now'
decision_files='source/request source/version'
decision_files="$decision_files source/process/*_queue.* source/process/dispatch_window.* source/process/finish_estimate.*"
decision_files="$decision_files source/process/crash_registry.* source/process/retry_budget.* source/process/backend_*.[ch]pp"
decision_files="$decision_files source/process/subset.* source/process/claim_batcher.hpp source/process/entry_router.hpp"
decision_files="$decision_files source/process/membership source/process/placement"
# These two wait or release on the task of a request; all else in the folder decides.
admission_tasks='placement_(wait|guard)\.'
decision_files="$decision_files $(ls source/process/admission/* | grep -vE "$admission_tasks" | tr '\n' ' ')"
decision_files="$decision_files source/process/service_retry_budgets.* source/process/response_delay_estimator.*"
decision_files="$decision_files source/process/burn_report.* source/process/crash_tracker.*"
violations=$(grep -rnE "$clock_reads" $decision_files || true)
if [ -n "$violations" ]; then
  echo "decision code must take the current time as an argument:" >&2
  echo "$violations" >&2
  exit 1
fi
# Includes within source/process go from admission to placement to membership.
violations=$(grep -nE '#include "process/(placement|admission)/' source/process/membership/* ||
  grep -nE '#include "process/admission/' source/process/placement/* || true)
if [ -n "$violations" ]; then
  echo "membership must not include placement or admission, placement must not include admission:" >&2
  echo "$violations" >&2
  exit 1
fi
platform_names='Response-Stamp|[^-]Deadline-Ms|Expect-Instance|Not-Run|rows-(tx|get|feed)|blob-(put|get)'
platform_names="$platform_names|PISTACHIOPOST_BOOT|Prompt-Prefix|Token-Count|Api-Key|At-Server|Server-Leaving|kv-(used|capacity)"
platform_names="$platform_names|cold-(per-s|start-s|remaining-ms)|Cold-Ms|allowed-regions|op/evacuate|evacuate/"
violations=$(grep -rnE "$platform_names" source || true)
if [ -n "$violations" ]; then
  echo "protocol names of the platform are allowed only in platform/:" >&2
  echo "$violations" >&2
  exit 1
fi
echo "layers: clean"
