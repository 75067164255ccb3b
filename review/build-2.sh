#!/bin/sh
# Builds what the scripts of the second review start: the stand-ins in review/platform_2
# and those of the project, which the build of the deploy file lays under target/deps.
set -eu
cd "$(dirname "$0")/.."
sh deploy/build.sh
export PYTHONPATH="$PWD/target/deps:$PWD/review"
python3 -m compileall -q review/platform_2
python3 -c "import platform_2.advice, platform_2.cell, platform_2.runner"
python3 -c "import streamthread.standins.cell, streamthread.standins.proxy"
echo "the stand-ins are built"
