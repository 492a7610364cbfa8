#!/usr/bin/env bash
# Puts the libraries and the compiled package under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! [ target/.installed -nt requirements-runtime.lock ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --no-deps --require-hashes \
        --target target/deps -r requirements-runtime.lock
    touch target/.installed
fi
rm -rf target/deps/persimmonhold
cp -r persimmonhold target/deps/persimmonhold
# The work tree is read-only at run time, so nothing could be compiled then.
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps
