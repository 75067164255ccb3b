#!/bin/sh
# Runs the case in the folder $1 with the build of the deploy file, or with the project's
# own environment where that has not been built, or with an installed package. Exit 2:
# there is none.
set -u
case_dir=$(cd "$1" && pwd)
review=$(cd "$case_dir/.." && pwd)
root=$(cd "$review/.." && pwd)
if [ -d "$root/target/deps/streamthread" ]; then
    python=python3
    PYTHONPATH="$root/target/deps:$review"
elif [ -x "$root/.venv/bin/python" ]; then
    python="$root/.venv/bin/python"
    PYTHONPATH="$review"
elif python3 -c "import streamthread.gateway" 2>/dev/null; then
    python=python3
    PYTHONPATH="$review"
else
    echo "not built: run deploy/build.sh first" >&2
    exit 2
fi
PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH PYTHONDONTWRITEBYTECODE
cd "$root" || exit 2
exec "$python" "$case_dir/case.py"
