#!/bin/sh
# Installs the pinned dependencies once and the sources each time, under target/.
set -eu
if [ ! -e target/.deps ] || [ constraints.txt -nt target/.deps ] || [ pyproject.toml -nt target/.deps ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps -c constraints.txt .
    touch target/.deps
fi
rm -rf target/deps/streamthread
cp -r src/streamthread target/deps/streamthread
find target/deps/streamthread -name tests -type d -prune -exec rm -rf {} +
python3 -m compileall -q target/deps >/dev/null || true
