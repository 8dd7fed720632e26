#!/usr/bin/env bash
# Fuzzes each target with random seeds. Usage: bash utilities/fuzz.sh [SEEDS [RUNS]].
# Stops at the first failure; the failing input is saved in fuzz-failure.bin and should be
# added to tests/fuzz/corpus.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-10}
runs=${2:-100000}
cmake --preset release >/dev/null
cmake --build --preset release --target fuzz >/dev/null
for ((i = 0; i < seeds; ++i)); do
  seed=$RANDOM$RANDOM
  for target in caller backend configuration backend_row load_report relay gateway_row; do
    echo "$target, seed $seed:"
    build/release/tests/fuzz "$target" "tests/fuzz/corpus/$target" "$seed" "$runs"
  done
done
