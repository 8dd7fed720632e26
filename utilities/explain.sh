#!/usr/bin/env bash
# Prints the log lines of one request, then the state changes that its gateways logged
# before the request's last line.
# Usage: bash utilities/explain.sh REQUEST FILE...
# The files contain the standard output of gateways; text before the JSON is ignored.
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

request_lines=$(grep -F "\"request\":\"$request\"" "$lines" || true)
if [ -z "$request_lines" ]; then
  echo "no log line for request $request; it may have been dropped (see lines_left_out)," >&2
  echo "or its gateway crashed: look for 'gateway started' lines" >&2
  exit 1
fi
echo "$request_lines"

# Warnings, errors and backend server state changes logged by the same gateways.
echo "-- state changes at the same gateways before its last line:"
last_time=$(echo "$request_lines" | tail -n 1 | sed 's/^{"time":"\([^"]*\)".*/\1/')
vms=$(echo "$request_lines" | sed 's/.*"vm":"\([^"]*\)".*/\1/' | sort -u)
for vm in $vms; do
  awk -v last_time="$last_time" 'substr($0, 10, length(last_time)) <= last_time' "$lines" |
    grep -F "\"vm\":\"$vm\"" |
    grep -E '"level":"(warning|error)"|"message":"backend server changed"' | tail -n 15
done
