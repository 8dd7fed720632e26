#!/usr/bin/env bash
# Runs seeded fault injection sequences, four in parallel, and checks the delivery
# guarantees. Usage: bash utilities/faults.sh [FIRST_SEED [LAST_SEED]]; default: 1 100.
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
failed_runs=$(grep -L ' 0 violations;' "$work"/*.txt | wc -l)
total=$((last - first + 1))
echo "$((total - failed_runs)) passed, $failed_runs failed"
[ "$failed_runs" -eq 0 ]
