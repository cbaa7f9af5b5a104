#!/usr/bin/env bash
# Builds dist/marigoldkeel, an executable zipapp that includes all dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${MARIGOLDKEEL_VENV:-.venv}"
if [ ! -x "$venv/bin/shiv" ]; then
    python3 -m venv "$venv"
    "$venv/bin/pip" install --quiet --disable-pip-version-check -e '.[dev]'
fi
# A stale build directory makes setuptools package modules that were deleted since.
rm -rf build
mkdir -p dist
# --compile-pyc is not used, as it starts processes on the first run of the zipapp.
"$venv/bin/shiv" --quiet --disable-pip-version-check --reproducible \
    --console-script marigoldkeel --python '/usr/bin/env python3' \
    --output-file dist/marigoldkeel .
ls -l dist/marigoldkeel
