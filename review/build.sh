#!/usr/bin/env bash
# Checks that the stand-ins compile. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
from pathlib import Path

for path in sorted(Path().rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
