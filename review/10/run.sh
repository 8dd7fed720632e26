#!/usr/bin/env bash
# Sends the largest requests of the deployment with their bodies in small chunks. Exit code
# 1: rule DENIED is broken, 0: it held, 2: the case could not run. TROUBLE=0: the same
# bodies in chunks of 1,024 bytes.
cd "$(dirname "$0")" && exec timeout -k 5 110 python3 run.py
