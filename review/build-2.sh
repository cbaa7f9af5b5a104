#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10. They are in Python and
# use its standard library only; the daemons use target/deps, from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q rig_*.py
test -d ../target/deps
