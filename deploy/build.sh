#!/bin/sh
# Builds target/deps: see deploy/build.py.
set -eu
cd "$(dirname "$0")/.."
if ! python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'; then
    echo "build failed: python3 is not 3.11 or later" >&2
    exit 1
fi
exec python3 deploy/build.py
