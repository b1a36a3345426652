"""The relay touches the machine in one place each: clock, disk, network and randomness."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.world import ROOT

RELAY = (
    "compose.py", "config.py", "console", "core", "directory", "ends", "fronts", "net", "partners", "upgrade",
)  # fmt: skip
MODULES = {"time", "secrets", "os", "shutil", "subprocess", "threading", "tempfile"}
CALLS = {
    "socket.socket", "socket.create_server", "socket.create_connection", "random.random", "random.choice",
    "random.randint", "random.uniform", "random.SystemRandom", "asyncio.open_connection",
    "asyncio.start_server", "asyncio.create_subprocess_exec", "open",
}  # fmt: skip
METHODS = {
    "read_text", "read_bytes", "write_text", "write_bytes", "unlink", "mkdir", "exists", "stat", "iterdir",
}  # fmt: skip


def touches(text: str) -> Iterator[str]:
    """What in a module's text goes to the machine past ``mallowlug/system.py``."""
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in MODULES)
        elif isinstance(node, ast.ImportFrom) and node.module in MODULES:
            yield node.module
        elif isinstance(node, ast.Call):
            name = ast.unparse(node.func)
            through_disk = name.endswith(("disk.unlink", "disk.open", "disk.read"))
            if name in CALLS or (name.rpartition(".")[2] in METHODS and not through_disk):
                yield name


def files() -> Iterator[Path]:
    for name in RELAY:
        path = ROOT / "mallowlug" / name
        yield from [path] if path.is_file() else sorted(path.rglob("*.py"))
    yield from sorted((ROOT / "mossfront").glob("*.py"))


def test_nothing_goes_past_the_one_place() -> None:
    found = {str(path.relative_to(ROOT)): list(touches(path.read_text(encoding="utf-8"))) for path in files()}
    assert len(found) > 15
    assert {path: names for path, names in found.items() if names} == {}


@pytest.mark.parametrize(
    "planted",
    [
        "import time\ntime.time()", "from os import write", "import socket\nsocket.socket()",
        "import random\nrandom.random()", "import asyncio\nasyncio.open_connection('h', 1)",
        "from pathlib import Path\nPath('x').read_text()", "open('x')", "import secrets",
    ],
)  # fmt: skip
def test_a_planted_call_is_found(planted: str) -> None:
    assert list(touches(planted))
