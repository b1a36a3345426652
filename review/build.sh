#!/bin/sh
# The stand-ins of all cases are plain Python 3.11 without dependencies: nothing is built, only compiled as a check.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib, sys
assert sys.version_info >= (3, 11), sys.version
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
