#!/usr/bin/env bash
# Installs packages and builds the release preset; prints the log only on failure or if
# there are warnings.
set -euo pipefail
cd "$(dirname "$0")/.."

bash utilities/install-packages.sh
log=$(mktemp)
if ! { cmake --preset release && cmake --build --preset release; } >"$log" 2>&1; then
  tail -n 60 "$log" >&2
  exit 1
fi
if grep -q 'warning:' "$log"; then
  grep -A4 'warning:' "$log" >&2
  echo "the build has warnings" >&2
  exit 1
fi
