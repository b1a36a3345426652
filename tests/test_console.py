"""The console: what a call means, and what callers may do to it."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field

import pytest

from mallowlug.console.calls import Said, answer
from mallowlug.console.server import Console
from mallowlug.system import POSIX
from tests.world import ROOT, World, free_port, http_request, soon


@dataclass
class Staffed:
    """A relay as the console sees it, that notes what it is told."""

    ready: bool = True
    done: list[str] = field(default_factory=list)
    why: str = ""

    def figures(self) -> str:
        return "relay_current 0\n"

    def members(self) -> str:
        return ""

    def disable_host(self, host: str) -> str:
        self.done.append(f"out {host}")
        return self.why

    def enable_host(self, host: str) -> str:
        self.done.append(f"back {host}")
        return self.why


@pytest.mark.parametrize(
    ("method", "target", "status", "done"),
    [
        ("GET", "/ready", 200, []),
        ("GET", "/fleet", 404, []),  # where no view is kept
        ("GET", "/metrics", 200, []),
        ("POST", "/hosts/disable?name=s-1", 200, ["out s-1"]),
        ("POST", "/hosts/enable?name=s%2d1", 200, ["back s-1"]),
        ("GET", "/hosts/disable?name=s-1", 405, []),
        ("POST", "/ready", 405, []),
        ("HEAD", "/ready", 405, []),
        ("GET", "/ready?x=1", 400, []),
        ("GET", "/", 404, []),
        ("GET", "/hosts", 404, []),
        ("POST", "/drain", 404, []),
        ("POST", "/hosts/disable", 400, []),
        ("POST", "/hosts/disable?name=", 400, []),
        ("POST", "/hosts/disable?name", 400, []),
        ("POST", "/hosts/disable?name=a&name=b", 400, []),
        ("POST", "/hosts/disable?name=a&other=b", 400, []),
        ("POST", "/hosts/disable?id=a", 400, []),
        ("POST", "/hosts/disable?name=" + "a" * 129, 400, []),
        ("POST", "/hosts/disable?name=a%00", 400, []),
        ("POST", "/hosts/disable?name=a%0a", 400, []),
        ("POST", "/hosts/disable?" + "name=a&" * 40, 400, []),
    ],
)
def test_what_a_call_means(method: str, target: str, status: int, done: list[str]) -> None:
    relay = Staffed()
    assert answer(method, target, relay).status == status
    assert relay.done == done


def test_a_no_is_told_with_its_reason() -> None:
    assert answer("GET", "/ready", Staffed(ready=False)).status == 503
    unknown = answer("POST", "/hosts/disable?name=a", Staffed(why="unknown host: a"))
    assert unknown == Said(404, "unknown host: a\n")
    assert answer("POST", "/hosts/disable?name=a", Staffed(why="the disk is full")).status == 503


@pytest.fixture
async def console():  # type: ignore[no-untyped-def]
    """A console with room for four callers."""
    port = free_port()
    console = Console(Staffed(), ("127.0.0.1", port), 4, POSIX)
    await console.start()
    yield port
    console.close()


async def raw(port: int, *pieces: bytes) -> bytes:
    """All that is answered to some bytes, until the end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0)
    told = await soon(reader.read())
    writer.close()
    return told


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ([b"GET /ready HTTP/1.1\r\n\r\n"], b"200"),
        ([bytes([byte]) for byte in b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"], b"200"),
        ([b"POST /hosts/disable?name=a HTTP/1.1\r\nContent-Length: 0\r\n\r\n"], b"200"),
        ([b"GET /ready HTTP/1.1\r\n\r\nGET /metrics HTTP/1.1\r\n\r\n"], b"200"),
        ([b"POST /hosts/disable?name=a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"], b"413"),
        ([b"GET /ready HTTP/1.1\r\nX: " + b"y" * 5000], b"413"),
        ([b"\x00\x01\x02 nonsense\r\n\r\n"], b"400"),
        ([b"GET /r\xc3\xa9ady HTTP/1.1\r\n\r\n"], b"400"),
        ([b"GET /ready HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"], b"400"),
        ([b"CONNECT a:1 HTTP/1.1\r\n\r\n"], b"4"),
        ([b"POST /ready HTTP/1.1\r\nContent-Length: x\r\n\r\n"], b"400"),
    ],
)
async def test_whatever_comes_gets_one_answer_and_a_close(
    console: int, pieces: list[bytes], status: bytes
) -> None:
    told = await raw(console, *pieces)
    assert told.startswith(b"HTTP/1.1 " + status), told
    assert told.count(b"HTTP/1.1 ") == 1


async def test_callers_that_say_nothing_hold_up_nobody(console: int) -> None:
    """More of them than there is room for: the oldest go, and a call is answered at once."""
    quiet = [await asyncio.open_connection("127.0.0.1", console) for _ in range(12)]
    for _, writer in quiet[6:]:
        writer.write(b"GET /rea")
    assert (await raw(console, b"GET /ready HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 200")
    for _, writer in quiet:
        writer.close()


async def test_the_relay_is_ready_until_it_is_told_to_end(world: World) -> None:
    await world.add("h1")
    world.known_hosts = list(world.directory.hosts.values())
    console = world.open_console()
    await world.run()
    assert (await http_request(console, "GET", "/ready"))[0] == 200
    assert world.process is not None
    world.process.terminate()

    async def refused() -> None:
        while (await http_request(console, "GET", "/ready"))[0] == 200:
            await asyncio.sleep(0.01)

    await soon(refused())


async def test_without_an_address_nothing_of_the_console_is_imported() -> None:
    """Some days have 32 MB."""
    code = "import sys, mallowlug.cli.run; sys.exit(any('mallowlug.console' in name for name in sys.modules))"
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", code, cwd=ROOT)
    assert await soon(process.wait()) == 0
