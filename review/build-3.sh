#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15, which need the standard library
# only. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q 11 13 14 15
