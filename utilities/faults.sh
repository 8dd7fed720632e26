#!/usr/bin/env bash
# Runs seeded random fault sequences, four at a time, and checks the promises.
# Usage: bash utilities/faults.sh [FIRST_SEED [LAST_SEED]], by default 1 100.
set -euo pipefail
cd "$(dirname "$0")/.."

bash utilities/build.sh
first=${1:-1}
last=${2:-100}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
seq "$first" "$last" | xargs -P 4 -I{} sh -c \
  'build/release/tests/standins faults --seed={} --work="$0/{}" \
     --product="$PWD/build/release/source/pistachiopost" >"$0/{}.txt" 2>&1 || true' "$work"
cat $(seq -f "$work/%g.txt" "$first" "$last")
bad=$(grep -L ' 0 promises broken' "$work"/*.txt | wc -l)
total=$((last - first + 1))
echo "$((total - bad)) passed, $bad failed"
[ "$bad" -eq 0 ]
