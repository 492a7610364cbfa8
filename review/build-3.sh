#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15, which need the standard library
# only. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")"
for folder in lib3 11 12 13 14 15; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
