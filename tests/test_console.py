"""The console: the meaning of calls, and resistance to malformed and idle connections."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field

import pytest

from mallowlug.console.calls import Response, handle_call
from mallowlug.console.server import Console
from mallowlug.system import POSIX
from tests.world import ROOT, World, free_port, http_request, soon


@dataclass
class FakeRelay:
    """A relay that records the operations of the console."""

    ready: bool = True
    actions: list[str] = field(default_factory=list)
    error: str = ""

    def metrics_text(self) -> str:
        return "relay_current 0\n"

    def fleet_json(self) -> str:
        return ""

    def disable_host(self, host: str) -> str:
        self.actions.append(f"out {host}")
        return self.error

    def enable_host(self, host: str) -> str:
        self.actions.append(f"back {host}")
        return self.error


@pytest.mark.parametrize(
    ("method", "target", "status", "actions"),
    [
        ("GET", "/ready", 200, []),
        ("GET", "/fleet", 404, []),  # no fleet view
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
def test_handle_call_status_and_action(method: str, target: str, status: int, actions: list[str]) -> None:
    relay = FakeRelay()
    assert handle_call(method, target, relay).status == status
    assert relay.actions == actions


def test_error_responses_carry_the_reason() -> None:
    assert handle_call("GET", "/ready", FakeRelay(ready=False)).status == 503
    unknown = handle_call("POST", "/hosts/disable?name=a", FakeRelay(error="unknown host: a"))
    assert unknown == Response(404, "unknown host: a\n")
    assert handle_call("POST", "/hosts/disable?name=a", FakeRelay(error="the disk is full")).status == 503


@pytest.fixture
async def console():  # type: ignore[no-untyped-def]
    """A console that allows four connections; yields its port."""
    port = free_port()
    console = Console(FakeRelay(), ("127.0.0.1", port), 4, POSIX)
    await console.start()
    yield port
    console.close()


async def exchange(port: int, *pieces: bytes) -> bytes:
    """Send pieces of bytes and return the whole response, up to the close."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0)
    received = await soon(reader.read())
    writer.close()
    return received


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
async def test_any_input_gets_one_response_and_a_close(
    console: int, pieces: list[bytes], status: bytes
) -> None:
    response = await exchange(console, *pieces)
    assert response.startswith(b"HTTP/1.1 " + status), response
    assert response.count(b"HTTP/1.1 ") == 1


async def test_idle_connections_do_not_block_calls(console: int) -> None:
    """With more connections than allowed the oldest are closed, and a call is answered at once."""
    quiet = [await asyncio.open_connection("127.0.0.1", console) for _ in range(12)]
    for _, writer in quiet[6:]:
        writer.write(b"GET /rea")
    assert (await exchange(console, b"GET /ready HTTP/1.1\r\n\r\n")).startswith(b"HTTP/1.1 200")
    for _, writer in quiet:
        writer.close()


async def test_not_ready_after_sigterm(world: World) -> None:
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


async def test_console_is_not_imported_without_an_address() -> None:
    """Some deployments have 32 MB of memory."""
    code = "import sys, mallowlug.cli.run; sys.exit(any('mallowlug.console' in name for name in sys.modules))"
    process = await asyncio.create_subprocess_exec(sys.executable, "-c", code, cwd=ROOT)
    assert await soon(process.wait()) == 0
