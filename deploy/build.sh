#!/bin/sh
# Installs the pinned dependencies once, and the sources where they have changed, under
# target/. What runs from there already is left alone: a daemon that starts meanwhile must
# not find half a package.
set -eu
if [ ! -e target/.deps ] || [ constraints.txt -nt target/.deps ] || [ pyproject.toml -nt target/.deps ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps -c constraints.txt .
    touch target/.deps
fi
installed=target/deps/streamthread
next=target/next.$$
rm -rf "$next"
cp -r src/streamthread "$next"
find "$next" \( -name tests -o -name __pycache__ \) -type d -prune -exec rm -rf {} +
if diff -rq --exclude=__pycache__ "$next" "$installed" >/dev/null 2>&1; then
    rm -rf "$next"
    exit 0
fi
rm -rf "$installed"
mv "$next" "$installed"
python3 -m compileall -q target/deps >/dev/null || true
