#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python scripts of the standard library, so
# this only checks that the interpreter runs and accepts them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for it in common/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$it"
done
echo "stand-ins checked"
