#!/usr/bin/env bash
# Installs packages, builds, checks style and layers, and runs all tests with CTest.
# Tests listed in KNOWN-RED.txt may fail; a listed test that passes is an error.
set -euo pipefail
cd "$(dirname "$0")/.."

bash utilities/build.sh
bash utilities/check-layers.sh
bash utilities/check-style.sh

known_failures=$(grep -oE '^test: *[^ ]+' KNOWN-RED.txt 2>/dev/null | sed 's/^test: *//' || true)
exclude=""
for name in $known_failures; do
  exclude="$exclude|^${name//./\\.}\$"
done
jobs=${JOBS:-4}
if [ -n "$exclude" ]; then
  echo "known failures, not counted:"
  cat KNOWN-RED.txt
  for name in $known_failures; do
    if ctest --preset release -R "^${name//./\\.}\$" >/dev/null 2>&1; then
      echo "$name passes but is listed in KNOWN-RED.txt: remove the entry" >&2
      exit 1
    fi
  done
  ctest --preset release -j "$jobs" -E "${exclude#|}"
else
  ctest --preset release -j "$jobs"
fi
