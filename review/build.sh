#!/bin/sh
# The stand-ins use only the standard library; this compiles them without writing files.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path().rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
