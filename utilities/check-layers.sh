#!/usr/bin/env bash
# Checks the layering: decision code must not include HTTP, nghttp2, JSON or msgpack headers
# or read a clock, and code outside platform/ must not contain protocol names of the platform.
# Encoding is allowed only in source/connection, in *_document.cpp files and in json_reader.
set -euo pipefail
cd "$(dirname "$0")/.."

codecs='#include <(httplib|nghttp2/|nlohmann|msgpack)'
allowed='^source/connection/|_document\.cpp$|^source/process/json_reader\.(cpp|hpp)$'
bad=$(grep -rlE "$codecs" source | grep -vE "$allowed" || true)
if [ -n "$bad" ]; then
  echo "decision code must not include a codec:" >&2
  echo "$bad" >&2
  exit 1
fi

clock='(steady|system_clock)::now'
deciders='source/request source/version'
deciders="$deciders source/process/*_queue.* source/process/dispatch_window.* source/process/finish_estimate.*"
deciders="$deciders source/process/crash_board.* source/process/retry_budget.* source/process/backend_*.[ch]pp"
deciders="$deciders source/process/subset.* source/process/claim_batcher.hpp source/process/entry_router.hpp"
deciders="$deciders source/process/load_account.* source/process/placement.* source/process/dispatcher.*"
deciders="$deciders source/process/service_budgets.* source/process/answer_delays.*"
deciders="$deciders source/process/burn_report.* source/process/prompt_parts.*"
bad=$(grep -rnE "$clock" $deciders || true)
if [ -n "$bad" ]; then
  echo "decision code must take the current time as an argument:" >&2
  echo "$bad" >&2
  exit 1
fi
names='Response-Stamp|[^-]Deadline-Ms|Expect-Instance|Not-Run|rows-(tx|get|feed)|blob-(put|get)'
names="$names|PISTACHIOPOST_BOOT|Prompt-Prefix|Token-Count|Api-Key|At-Server|kv-(used|capacity)"
bad=$(grep -rnE "$names" source || true)
if [ -n "$bad" ]; then
  echo "protocol names of the platform are allowed only in platform/:" >&2
  echo "$bad" >&2
  exit 1
fi
echo "layers: clean"
