#!/bin/sh
# Builds what the cases 6 to 9 start beside the build of the deploy file: the stand-ins are Python
# sources, so compiling them shows that they and their dependencies can be loaded.
set -eu
cd "$(dirname "$0")/.."
[ -f target/app/run_node.py ] || sh deploy/build.sh
PYTHONPATH=target/deps python3 -m compileall -q emulator review/stand_ins_2 review/[6-9]/case.py
PYTHONPATH=target/deps:review/stand_ins_2 python3 -c "import lab"
