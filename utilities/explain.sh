#!/usr/bin/env bash
# Prints the log lines of one request, then what its gateway believed around it.
# usage: bash utilities/explain.sh REQUEST FILE...
# The files hold the standard output of gateways; text before a line's JSON is dropped.
set -euo pipefail

if [ $# -lt 2 ]; then
  echo "usage: bash utilities/explain.sh REQUEST FILE..." >&2
  exit 2
fi
request=$1
shift

lines=$(mktemp)
trap 'rm -f "$lines"' EXIT
sed -n 's/^[^{]*\({"time".*\)$/\1/p' "$@" | sort >"$lines"

own=$(grep -F "\"request\":\"$request\"" "$lines" || true)
if [ -z "$own" ]; then
  echo "no line of request $request; it may be one of those left out (lines_left_out)," >&2
  echo "or its gateway died: look for 'gateway started' lines" >&2
  exit 1
fi
echo "$own"

# Changes of belief at the same gateways, and the word on its backend servers.
echo "-- changes before its last line, at the same gateways:"
last=$(echo "$own" | tail -n 1 | sed 's/^{"time":"\([^"]*\)".*/\1/')
vms=$(echo "$own" | sed 's/.*"vm":"\([^"]*\)".*/\1/' | sort -u)
for vm in $vms; do
  awk -v last="$last" 'substr($0, 10, length(last)) <= last' "$lines" |
    grep -F "\"vm\":\"$vm\"" |
    grep -E '"level":"(warning|error)"|"message":"backend server changed"' | tail -n 15
done
