"""Clock, disk, network and randomness are accessed only through ``mallowlug/system.py``."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.world import ROOT

RELAY_SOURCES = (
    "compose.py", "config.py", "console", "core", "directory", "ends", "fronts", "net", "partners", "upgrade",
)  # fmt: skip
FORBIDDEN_MODULES = {"time", "secrets", "os", "shutil", "subprocess", "threading", "tempfile"}
FORBIDDEN_CALLS = {
    "socket.socket", "socket.create_server", "socket.create_connection", "random.random", "random.choice",
    "random.randint", "random.uniform", "random.SystemRandom", "asyncio.open_connection",
    "asyncio.start_server", "asyncio.create_subprocess_exec", "open",
}  # fmt: skip
FORBIDDEN_METHODS = {
    "read_text", "read_bytes", "write_text", "write_bytes", "unlink", "mkdir", "exists", "stat", "iterdir",
}  # fmt: skip


def forbidden_uses(text: str) -> Iterator[str]:
    """Yield the imports and calls that access the machine without ``mallowlug/system.py``."""
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name in FORBIDDEN_MODULES)
        elif isinstance(node, ast.ImportFrom) and node.module in FORBIDDEN_MODULES:
            yield node.module
        elif isinstance(node, ast.Call):
            name = ast.unparse(node.func)
            through_disk = name.endswith(("disk.unlink", "disk.open", "disk.read"))
            if name in FORBIDDEN_CALLS or (name.rpartition(".")[2] in FORBIDDEN_METHODS and not through_disk):
                yield name


def source_files() -> Iterator[Path]:
    for name in RELAY_SOURCES:
        path = ROOT / "mallowlug" / name
        yield from [path] if path.is_file() else sorted(path.rglob("*.py"))
    yield from sorted((ROOT / "mossfront").glob("*.py"))


def test_only_system_module_calls_the_operating_system() -> None:
    found = {
        str(path.relative_to(ROOT)): list(forbidden_uses(path.read_text(encoding="utf-8")))
        for path in source_files()
    }
    assert len(found) > 15
    assert {path: names for path, names in found.items() if names} == {}


@pytest.mark.parametrize(
    "source",
    [
        "import time\ntime.time()", "from os import write", "import socket\nsocket.socket()",
        "import random\nrandom.random()", "import asyncio\nasyncio.open_connection('h', 1)",
        "from pathlib import Path\nPath('x').read_text()", "open('x')", "import secrets",
    ],
)  # fmt: skip
def test_forbidden_use_is_detected(source: str) -> None:
    assert list(forbidden_uses(source))
