#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python and need only what the deploy file's build has
# put into target/deps, so this checks that they can be imported.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.stand_ins.deployment, emulator.platform_store"
