#!/usr/bin/env bash
# Measures the scaling figures for docs/CAPACITY.md: cost by peers, connections,
# customers, requests and claims at three or more sizes each. Takes about two minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

bash utilities/build.sh
mkdir -p bench-results
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
build/release/tests/standins slopes --product="$PWD/build/release/source/pistachiopost" \
  --work="$work" --result="bench-results/slopes.json" --seconds=5 "$@"
echo "results written to bench-results/slopes.json"
