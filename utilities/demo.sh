#!/usr/bin/env bash
# Installs packages, builds, starts a complete deployment on loopback addresses, sends a
# mix of prompts of 1,000 to 1,000,000 tokens and prints a summary of the results.
# --keep leaves the deployment running until Ctrl-C and prints how to call it.
set -euo pipefail
cd "$(dirname "$0")/.."

case "${1:-}" in
  "") keep="" ;;
  --keep) keep="--keep" ;;
  *) echo "usage: bash utilities/demo.sh [--keep]" >&2; exit 2 ;;
esac
bash utilities/build.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
build/release/tests/standins scenario tests/scenarios/demo.json \
  --product="$PWD/build/release/source/pistachiopost" --work="$work" $keep
