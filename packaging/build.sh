#!/usr/bin/env bash
# Builds dist/marigoldkeel, one executable zipapp with all its dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${MARIGOLDKEEL_VENV:-.venv}"
if [ ! -x "$venv/bin/shiv" ]; then
    python3 -m venv "$venv"
    "$venv/bin/pip" install --quiet --disable-pip-version-check -e '.[dev]'
fi
# setuptools would copy modules that were deleted since the last build.
rm -rf build
mkdir -p dist
# Without --compile-pyc, which starts processes when the zipapp is first run.
"$venv/bin/shiv" --quiet --disable-pip-version-check --reproducible \
    --console-script marigoldkeel --python '/usr/bin/env python3' \
    --output-file dist/marigoldkeel .
ls -l dist/marigoldkeel
