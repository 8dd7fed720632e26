#!/usr/bin/env bash
# Benchmarks the policies against round robin + FIFO and least loaded + FIFO with 16
# engines, 3 services, 3 entries, prompts of 1k to 1M tokens and 10 customers.
# Usage: bash utilities/bench.sh [--seed=N] [--seconds=N] [--only=CHOICE]
set -euo pipefail
cd "$(dirname "$0")/.."

bash utilities/build.sh
mkdir -p bench-results
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
build/release/tests/standins bench --product="$PWD/build/release/source/pistachiopost" \
  --work="$work" --result="bench-results/bench.json" "$@"
echo "results written to bench-results/bench.json"
