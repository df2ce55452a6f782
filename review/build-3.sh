#!/bin/sh
# Compiles the stand-ins that the scripts of review/11 to review/15 start, the project's own too.
# To be run after the build of deploy/system.toml, whose dependencies they use.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
PYTHONPYCACHEPREFIX="$PWD/target/review-3" python3 -m compileall -q emulator review/stand_ins_3
PYTHONPYCACHEPREFIX="$PWD/target/review-3" PYTHONPATH=target/deps:review:. \
    python3 -c "import stand_ins_3.rig"
