#!/bin/sh
# Plays the case on loopback; 1: the rule was broken, 0: it held, 2: it could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 exec python3 review/7/case.py
