#!/usr/bin/env bash
# The operator takes all keys away, one after the other, and clients come with keys that no
# configuration ever held. Exit code 1: rule ROUTE is broken, 0: it held, 2: the case could
# not run. TROUBLE=0: no key is taken away.
cd "$(dirname "$0")" && exec timeout -k 5 110 python3 run.py
