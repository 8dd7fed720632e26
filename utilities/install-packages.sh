#!/usr/bin/env bash
# Installs the Debian packages required by the build and the tests.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=$(cat .ci/packages)
missing=""
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0

log=$(mktemp)
if ! { apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing; } \
    >"$log" 2>&1; then
  cat "$log" >&2
  echo "cannot install:$missing" >&2
  exit 1
fi
