#!/usr/bin/env bash
# Formatter and linter over all sources, files in parallel.
set -euo pipefail
cd "$(dirname "$0")/.."

files=$(git ls-files 'source/*.?pp' 'platform/*.?pp' 'tests/*.?pp')
echo "$files" | xargs clang-format --dry-run --Werror
echo "formatter: clean"

log=$(mktemp)
if ! echo "$files" | grep '\.cpp$' |
    xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet >"$log" 2>/dev/null; then
  grep -E 'warning:|error:' "$log" | sort -u >&2
  echo "the linter found faults" >&2
  exit 1
fi
echo "linter: clean"
