"""The import rules detect forbidden imports."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.world import ROOT


@pytest.mark.parametrize(
    ("file", "statement"),
    [
        ("mallowlug/core/journal.py", "from mallowlug.fronts import resp2"),
        ("mallowlug/fronts/resp2.py", "from mallowlug.partners import http_calls"),
        ("mallowlug/net/http.py", "from mallowlug import compose"),
        ("mossfront/state.py", "from mossfront import simulator_adapter"),
        ("mallowlug/rig/judge/rules.py", "from mallowlug.rig.world import hosts"),
        ("mallowlug/rig/world/hosts.py", "from mallowlug.core import journal"),
        ("mallowlug/core/relay.py", "import mallowlug.rig.judge.record"),
    ],
)
def test_forbidden_import_is_detected(tmp_path: Path, file: str, statement: str) -> None:
    for name in ("mallowlug", "mossfront"):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__"))
    shutil.copy(ROOT / "pyproject.toml", tmp_path)
    check = [str(Path(sys.executable).with_name("lint-imports")), "--no-cache"]
    assert subprocess.run(check, cwd=tmp_path, capture_output=True, check=False).returncode == 0
    with (tmp_path / file).open("a", encoding="utf-8") as out:
        out.write(f"\n{statement}\n")
    found = subprocess.run(check, cwd=tmp_path, capture_output=True, check=False)
    assert found.returncode == 1, found.stdout
