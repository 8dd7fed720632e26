#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all sources, with files linted in parallel.
set -euo pipefail
cd "$(dirname "$0")/.."

files=$(git ls-files 'source/*.?pp' 'platform/*.?pp' 'tests/*.?pp')
echo "$files" | xargs clang-format --dry-run --Werror
echo "formatter: clean"

log=$(mktemp)
if ! echo "$files" | grep '\.cpp$' |
    xargs -P "$(nproc)" -n 1 clang-tidy -p build/release --quiet >"$log" 2>/dev/null; then
  grep -E 'warning:|error:' "$log" | sort -u >&2
  echo "clang-tidy reported problems" >&2
  exit 1
fi
echo "linter: clean"
