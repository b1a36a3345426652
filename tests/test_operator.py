"""The operator file: every mistake is reported, and without one no option is enabled."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowlug.cli.main import main
from mallowlug.config import DEFAULT_EXTRAS, FrontPlan
from mallowlug.operator import logs, model
from mallowlug.toml_check import FileMistakesError, Mistake, key_lines, line_of
from tests.world import ROOT, Client, World, delivered, soon

INVALID_FILE = """\
colour = "red"

[log]
level = "loud"

[[front]]
kind = "resp2"
listen = "127.0.0.1:7001"
connections = 0

[[front]]
kind = "smtp"
listen = "nowhere"
connections = "many"
"""


def mistakes(path: Path, text: str) -> list[Mistake]:
    """Return the mistakes in a file with this text."""
    path.write_text(text, encoding="utf-8")
    with pytest.raises(FileMistakesError) as caught:
        model.load(path)
    return list(caught.value.mistakes)


def test_every_mistake_is_reported_with_key_and_line(tmp_path: Path) -> None:
    found = mistakes(tmp_path / "operator.toml", INVALID_FILE)
    assert [(mistake.line, mistake.key) for mistake in found] == [
        (1, "colour"),
        (4, "log.level"),
        (9, "front.0.connections"),
        (12, "front.1.kind"),
        (13, "front.1.listen"),
        (14, "front.1.connections"),
    ]
    assert found[4].reason == "not an address: 'nowhere'"


def test_missing_key_is_reported_at_its_table(tmp_path: Path) -> None:
    found = mistakes(tmp_path / "operator.toml", '\n[[front]]\nkind = "resp2"\n')
    assert [(mistake.line, mistake.key) for mistake in found] == [(2, "front.0.listen")]


def test_fronts_with_the_same_address_are_rejected(tmp_path: Path) -> None:
    front = '[[front]]\nkind = "resp2"\nlisten = "127.0.0.1:7001"\n'
    [mistake] = mistakes(tmp_path / "operator.toml", front + front)
    assert (mistake.line, mistake.key) == (1, "front")
    assert mistake.reason == "front.1.listen: 127.0.0.1:7001 is front.0's already"


@pytest.mark.parametrize(("text", "line"), [("[log]\nlevel = \n", 2), ("[log\n", 1), ("a = 1\na = 2\n", 2)])
def test_toml_syntax_error_is_reported_with_its_line(tmp_path: Path, text: str, line: int) -> None:
    [mistake] = mistakes(tmp_path / "operator.toml", text)
    assert mistake.line == line
    assert mistake.reason


def test_missing_or_binary_file_is_one_mistake(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    with pytest.raises(FileMistakesError, match="cannot be read"):
        model.load(path)
    path.write_bytes(b"\xff\xfe")
    with pytest.raises(FileMistakesError, match="cannot be read"):
        model.load(path)


names = st.text("abcdefghij", min_size=1, max_size=4)


@given(st.dictionaries(names, st.lists(st.dictionaries(names, st.integers(0, 9)), max_size=3), max_size=4))
def test_key_lines_finds_each_key(tables: dict[str, list[dict[str, int]]]) -> None:
    lines, wanted = list[str](), dict[tuple[str | int, ...], int]()
    for table, items in tables.items():
        for at, item in enumerate(items):
            lines += ["# level = 7", 'text = """', "[[not]]", 'x = 1"""'] if not wanted else [""]
            lines.append(f"[[ {table} ]]  # [x]")
            wanted[(table, at)] = len(lines)
            for key, value in item.items():
                lines.append(f"  {key} = {value}")
                wanted[(table, at, key)] = len(lines)
    found = key_lines("\n".join(lines))
    assert {key: line_of(found, key) for key in wanted} == wanted
    assert ("not", 0) not in found


def test_check_prints_mistakes_and_exits_with_2(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(INVALID_FILE, encoding="utf-8")
    assert main(["check", str(path)]) == 2
    error_lines = capsys.readouterr().err.splitlines()
    assert len(error_lines) == 6
    assert error_lines[0].startswith(f"{path}:1: colour: ")


def test_shipped_file_enables_nothing() -> None:
    assert model.load(ROOT / "deploy" / "operator.toml") == DEFAULT_EXTRAS
    assert main(["check", str(ROOT / "deploy" / "operator.toml")]) == 0


def test_commented_examples_in_the_shipped_file_are_valid(tmp_path: Path) -> None:
    shown = [
        line.removeprefix("# ")
        for line in (ROOT / "deploy" / "operator.toml").read_text(encoding="utf-8").splitlines()
        if line.startswith("# [") or line.partition(" = ")[0].removeprefix("# ").isidentifier()
    ]
    path = tmp_path / "operator.toml"
    path.write_text("\n".join(shown), encoding="utf-8")
    found = model.load(path)
    assert found.fronts == (FrontPlan("resp2", ("127.0.0.1", 7001), 64),)
    assert found.fleet is not None and found.fleet.address == "127.0.0.1:7101" and len(found.fleet.seeds) == 2


def test_optional_modules_are_not_imported_by_run() -> None:
    """Some deployments have 32 MB of memory: disabled options are not even imported."""
    code = "import sys, mallowlug.cli.run; print(*sys.modules)"
    command = [sys.executable, "-c", code]
    loaded = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    modules = set(loaded.stdout.split())
    assert "mallowlug.compose" in modules
    absent = {"pydantic", "pydantic_core", "structlog", "argparse", "click", "tomllib"}
    absent |= {"mallowlug.operator", "mallowlug.rig"}
    assert not modules & absent


async def write_second_front(world: World, connections: int) -> tuple[str, int]:
    """Write an operator file with an additional listener; return its address."""
    address = "127.77." + ".".join(world.address.split(".")[2:])
    (world.folder / "operator.toml").write_text(
        f'[[front]]\nkind = "resp2"\nlisten = "{address}:{world.port}"\nconnections = {connections}\n'
        '[log]\nformat = "json"\n[journal]\ndurable = true\n',
        encoding="utf-8",
    )
    return address, world.port


async def test_second_front_shares_the_core(world: World) -> None:
    address, port = await write_second_front(world, 4)
    host = await world.add("h1")
    world.arguments = ("run", "--operator", str(world.folder / "operator.toml"))
    first = await world.run()
    second = Client(*await soon(asyncio.open_connection(address, port)))
    assert await second.submit("m1") == b"+OK"
    assert await first.submit("m1") == b"+OK"  # a duplicate, although by another front
    assert await first.submit("m2") == b"+OK"
    await host.call(1)
    assert sorted(ref for request in host.seen for ref in request.ids) == ["m1", "m2"]
    assert world.process is not None
    world.process.send_signal(signal.SIGTERM)
    assert await soon(second.reader.read()) == b""
    assert await soon(world.process.wait()) == 0


def test_json_log_record_has_message_id_and_traceback() -> None:
    formatter = logs.build_formatter("n1", "c0ffee")
    try:
        raise ValueError("why")
    except ValueError:
        record = logging.LogRecord("mallowlug.x", logging.ERROR, "", 0, "%s broke", ("it",), sys.exc_info())
    record.message_id, record.secret = "9b1f", "not a field"
    event = json.loads(formatter.format(record))
    assert "\n" not in formatter.format(record)
    assert (event["message_id"], event["event"], event["life"]) == ("9b1f", "it broke", "c0ffee")
    assert event["exception"][0]["exc_value"] == "why"
    assert "secret" not in event


async def test_front_connections_above_the_descriptor_limit_are_rejected(world: World) -> None:
    await write_second_front(world, world.sockets)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "mallowlug", "run", "--operator", str(world.folder / "operator.toml"),
        cwd=ROOT, env=world.environment(), stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    _, stderr = await soon(process.communicate())
    assert process.returncode == 2
    line = json.loads(stderr)
    assert (line["relay"], line["life"], line["level"]) == ("n0", "8c1f30d27a5be964", "critical")
    assert line["event"].startswith("configuration: front: at most 256 connections")


async def test_without_operator_file_one_listener_and_no_pydantic(world: World) -> None:
    world.settings["x"] = delivered.__name__  # an unknown setting is ignored
    await world.run()
    assert world.process is not None
    maps = Path(f"/proc/{world.process.pid}/maps").read_text(encoding="utf-8")
    assert "pydantic" not in maps
    inodes = {
        path.readlink().name for path in Path(f"/proc/{world.process.pid}/fd").iterdir() if path.is_symlink()
    }
    listening = [
        line.split()[9]
        for line in Path("/proc/net/tcp").read_text(encoding="utf-8").splitlines()[1:]
        if line.split()[3] == "0A"
    ]
    assert len([inode for inode in listening if f"socket:[{inode}]" in inodes]) == 1
