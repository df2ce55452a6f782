#!/bin/sh
# Installs the dependencies, and compiles them and the sources: where a node runs it can't write, so
# it would compile everything at each start.
set -eu
# What is installed fits one kind of machine and one Python, and may have been cut off: the key is
# written last.
key="$(python3 -c 'import sys, sysconfig
print(sysconfig.get_platform(), sys.implementation.cache_tag)') $(cksum < requirements.txt)"
if [ "$(cat target/deps.key 2>/dev/null)" != "$key" ]; then
    rm -rf target/deps.key target/deps
    python3 -m pip install -q -U --target target/deps -r requirements.txt
    echo "$key" > target/deps.key
fi
rm -rf target/app
cp -R src target/app
find target/app -name __pycache__ -prune -exec rm -rf {} +
python3 -OO -m compileall -q --invalidation-mode unchecked-hash target/deps target/app
