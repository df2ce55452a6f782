#!/bin/sh
# Installs the dependencies, and compiles them and the sources: where a node runs it can't write, so
# it would compile everything at each start.
set -eu
[ target/deps -nt requirements.txt ] ||
    python3 -m pip install -q -U --target target/deps -r requirements.txt
rm -rf target/app
cp -R src target/app
find target/app -name __pycache__ -prune -exec rm -rf {} +
python3 -OO -m compileall -q --invalidation-mode unchecked-hash target/deps target/app
