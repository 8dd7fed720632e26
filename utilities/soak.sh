#!/usr/bin/env bash
# Runs the gateway soak test with a range of seeds, five in parallel, and keeps the logs of
# failed runs. Usage: bash utilities/soak.sh [FIRST_SEED LAST_SEED [FLAGS...]]; default: ten
# random seeds. FLAGS are passed to the soak test, for example --gateways=60.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release --target soak pistachiopost >/dev/null
first=${1:-$((RANDOM * 10))}
last=${2:-$((first + 9))}
shift $(($# < 2 ? $# : 2))
work=$(mktemp -d)
export work
seq "$first" "$last" | xargs -P "${JOBS:-5}" -I{} bash -c \
  'seed=$0; build/release/tests/soak --seed="$seed" --work="$work/$seed" "$@" \
     --product="$PWD/build/release/source/pistachiopost" >"$work/$seed.txt" 2>&1 \
     && rm -rf "${work:?}/$seed" || true' {} "$@"
cat $(seq -f "$work/%g.txt" "$first" "$last")
failed_runs=$(grep -L ' 0 promises broken' "$work"/*.txt | wc -l)
echo "$((last - first + 1 - failed_runs)) passed, $failed_runs failed; logs of failed runs are in $work"
[ "$failed_runs" -eq 0 ]
