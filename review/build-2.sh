#!/bin/sh
# The stand-ins of the cases 6 to 10 need nothing but the standard library of the Python in .venv; they are
# compiled here, so that a mistake shows before a case runs.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python - <<'PY'
import pathlib
cases = [pathlib.Path("review", str(number), "case.py") for number in range(6, 11)]
for path in [*pathlib.Path("review").glob("parts-2/*.py"), *(path for path in cases if path.exists())]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
