#!/bin/bash
# Checks the stand-ins of the cases 11 to 15. They are Python 3 of the standard library
# and need no build; the program that they start is that of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
if [ ! -x ../target/source/pistachiopost ]; then
  echo "build-3.sh: run the build of deploy/system.toml first" >&2
  exit 1
fi
