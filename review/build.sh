#!/usr/bin/env bash
# Builds the stand-ins of the review: Python, of the standard library only, so
# that this checks no more than that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
