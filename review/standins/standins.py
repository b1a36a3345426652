"""Stand-ins for the review's cases: platform, hosts and clients on loopback sockets; only the standard library.

They do what the operators' pages say of a sound platform, host and client. A case adds the disruption it names.
Every line of ``record.txt`` is one thing that was sent, answered or run, with seconds since the case began.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """Something outside the rule under test went wrong: the case says nothing."""


def loopback() -> str:
    """A random loopback address: nothing else listens there."""
    return "127." + ".".join(str(secrets.randbelow(250) + 2) for _ in range(3))


def free_address() -> tuple[str, int]:
    """A free loopback address for a process that keeps it over its restarts (below the ephemeral ports)."""
    for _ in range(200):
        address = loopback(), 12000 + secrets.randbelow(18000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(address)
            return address
    raise CouldNotRun("no free port")


class Record:
    """The record of one run."""

    def __init__(self, path: Path) -> None:
        self._file, self._start = path.open("w", encoding="utf-8"), time.monotonic()

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._start

    def add(self, who: str, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.4f} {who:<10} {text}\n")
        self._file.flush()


class HttpRequest:
    """One complete request, and the connection to answer it on."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes,
                 reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.reader, self.writer = reader, writer

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Write a whole answer."""
        lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
        if not self.writer.is_closing():
            self.writer.write(f"HTTP/1.1 {status} X\r\n{lines}{length}\r\n".encode() + body)

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    def messages(self) -> list[tuple[str, str, bytes]]:
        """Id, idempotency key and body of each message of a call; raises ``ValueError`` for a bad one."""
        if self.target == "/hook":
            return [(self.headers["x-txn"], self.headers.get("idempotency-key", ""), self.body)]
        if self.target != "/hook/batch":
            raise ValueError(f"target {self.target}")
        found, rest = [], self.body
        while rest:
            line, _, rest = rest.partition(b"\r\n")
            ref, key, size = line.decode().split(" ")
            if rest[int(size) : int(size) + 2] != b"\r\n":
                raise ValueError("a length that does not fit")
            found.append((ref, "" if key == "-" else key, rest[: int(size)]))
            rest = rest[int(size) + 2 :]
        if not found or len({ref for ref, _, _ in found}) < len(found):
            raise ValueError("empty, or a message twice")
        return found


class HttpServer:
    """An HTTP/1.1 server on a loopback address of its own, one call at a time on a connection."""

    idle_s = 3600.0  # how long a connection may stand idle

    def __init__(self) -> None:
        self.address: tuple[str, int] = ("", 0)
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def dial(self) -> str:
        return "{}:{}".format(*self.address)

    async def start(self) -> None:
        """Listen; on the same address as before, if there was one."""
        if not self.address[0]:
            self.address = free_address()
        self._server = await asyncio.start_server(self._serve, *self.address, limit=1 << 20)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                async with asyncio.timeout(self.idle_s):
                    head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.serve(HttpRequest(method, target, headers, body, reader, writer))
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError, asyncio.CancelledError):
            pass  # ended by the relay, idle for too long, or the case is over
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(RuntimeError):  # the case is over, and its loop is closed
                writer.close()

    async def serve(self, request: HttpRequest) -> None:
        """Handle one request."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Refuse connections and reset the open ones, as a process that dies does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Platform(HttpServer):
    """Discovery with its watches, and the notices."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record, self.seq = record, 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self.notices: dict[str, list[tuple[float, str, int]]] = {}  # by id: time, result, wait in ms
        self.on_notice: Callable[[str, str, int], None] = lambda _ref, _result, _wait_ms: None
        self._watches: set[asyncio.StreamWriter] = set()
        self._beat: asyncio.Task[None] | None = None

    def list_host(self, name: str, dial: str, block: int, site: str, kind: str, health: str = "SERVING") -> None:
        """Put a host on the list, before the relay starts."""
        self.hosts[name] = {"host": name, "dial": dial, "site": site, "class": kind, "block": block,
                            "health": health, "share": 1.0, "born_ms": 0}

    def known(self) -> dict[str, Any]:
        """The whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    async def start(self) -> None:
        await super().start()
        self._beat = asyncio.create_task(self._beats())

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(2)
            for writer in list(self._watches):
                if not writer.is_closing():
                    writer.write(b"1\r\n\n\r\n")

    async def serve(self, request: HttpRequest) -> None:
        if request.method == "POST" and request.target == "/v1/notices":
            try:
                rows = [json.loads(line) for line in request.body.splitlines()]
                found = [(row["ref"], row["result"], int(row.get("wait_ms", 0))) for row in rows]
            except (ValueError, KeyError, TypeError):
                request.answer(400)
                return
            for ref, result, wait_ms in found:
                self.record.add("platform", f"notice {ref} {result} wait_ms={wait_ms}")
                self.notices.setdefault(ref, []).append((self.record.now(), result, wait_ms))
                self.on_notice(ref, result, wait_ms)
            request.answer(204)
        elif request.method == "GET" and request.target.startswith("/discovery/hosts"):
            line = json.dumps(self.known()).encode()
            if "watch=1" not in request.target:
                request.answer(200, line)
                return
            request.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            request.writer.write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
            self._watches.add(request.writer)
            self.record.add("platform", f"a watch opens: {request.target}")
            with contextlib.suppress(ConnectionError):
                await request.reader.read()  # until the relay ends it
            self._watches.discard(request.writer)
            raise ConnectionResetError
        else:
            request.answer(404)


class Client:
    """One connection of a client, which hands in messages one by one."""

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record, self.address = record, address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def command(self, *args: bytes) -> str:
        """Send a command and return its answer; "" where none came within 400 ms (the connection is closed)."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self.address)
        assert self._reader is not None
        self._writer.write(b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(a), a) for a in args))
        try:
            async with asyncio.timeout(0.4):
                line = await self._reader.readline()
        except (TimeoutError, ConnectionError):
            line = b""
        if not line.endswith(b"\r\n"):
            self.close()
            return ""
        return line.strip().decode("latin-1")

    async def enqueue(self, ref: str, cls: str, dest: int, d_ms: int, key: str = "", body: bytes = b"-",
                      tenant: str = "", extra: str = "", order: bytes = b"0" * 16) -> str:
        """Hand in one message; return the answer."""
        fields = f"c={cls},t={tenant},d={d_ms}" + (f",k={key}" if key else "") + extra + f",dest={dest}"
        self.record.add("client", f"ENQUEUE {ref} {fields} ({len(body)} bytes)")
        answer = await self.command(b"ENQUEUE", order, ref.encode(), fields.encode(), body)
        self.record.add("client", f"answer to {ref}: {answer or 'none'}")
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Relay:
    """One relay: its folder, its configuration, and its processes, started by the line of the deploy file."""

    def __init__(self, record: Record, folder: Path, settings: dict[str, Any], platform: Platform,
                 limits: dict[str, Any] | None = None) -> None:
        self.record, self.folder, self.settings, self.platform = record, folder, settings, platform
        self.state, self.address = folder / "state", free_address()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3} | (limits or {})
        self.state.mkdir()
        self.processes: list[subprocess.Popen[bytes]] = []
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            self._run = tomllib.load(file)["run"]
        self._logs = 0

    def write_config(self) -> None:
        """Write the configuration file in one piece."""
        config = {
            "name": "n0", "listen": "{}:{}".format(*self.address), "discovery": self.platform.dial,
            "seed": secrets.token_hex(8), "limits": self.limits, "known": self.platform.known(),
            "settings": self.settings,
        }
        new = self.folder / "config.json.new"
        new.write_text(json.dumps(config), encoding="utf-8")
        new.replace(self.folder / "config.json")

    def spawn(self, console: tuple[str, int] | None = None) -> subprocess.Popen[bytes]:
        """Start a process by ``run``."""
        self.write_config()
        temporary = self.folder / f"tmp{self._logs}"
        temporary.mkdir()
        environ = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")} | {
            "ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": "{}:{}".format(*self.address), "ROUTER_DISCOVERY": self.platform.dial,
            "ROUTER_STATE": str(self.state), "TMPDIR": str(temporary), "PYTHONDONTWRITEBYTECODE": "1",
        }
        if console is not None:
            environ["ROUTER_CONSOLE"] = "{}:{}".format(*console)
        with (self.folder / f"log{self._logs}.txt").open("wb") as log:
            process = subprocess.Popen(["/bin/sh", "-c", self._run], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL,
                                       stdout=log, stderr=log, start_new_session=True)
        self._logs += 1
        self.processes.append(process)
        self.record.add("relay", f"process {process.pid} is started")
        return process

    async def ready(self, process: subprocess.Popen[bytes], limit_s: float = 30.0) -> None:
        """Wait for +PONG."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if process.poll() is not None:
                raise CouldNotRun(f"the relay ended at its start with {process.returncode}\n{self.logs()}")
            client = Client(self.record, self.address)
            with contextlib.suppress(OSError):
                if await client.command(b"PING") == "+PONG":
                    client.close()
                    self.record.add("relay", f"process {process.pid} answers PING")
                    return
            client.close()
            await asyncio.sleep(0.03)
        raise CouldNotRun(f"the relay did not answer PING\n{self.logs()}")

    def signal(self, process: subprocess.Popen[bytes], number: signal.Signals) -> None:
        """Send a signal to a process that was started here."""
        self.record.add("relay", f"{number.name} to process {process.pid}")
        process.send_signal(number)

    async def ended(self, process: subprocess.Popen[bytes], limit_s: float = 10.0) -> None:
        """Wait until a process has ended."""
        end_s = time.monotonic() + limit_s
        while process.poll() is None:
            if time.monotonic() > end_s:
                raise CouldNotRun("a process did not end")
            await asyncio.sleep(0.01)
        self.record.add("relay", f"process {process.pid} has ended, code {process.returncode}")

    def logs(self) -> str:
        """What the processes logged, the last lines."""
        texts = [path.read_text(errors="replace") for path in sorted(self.folder.glob("log*.txt"))]
        return "\n".join(line for text in texts for line in text.splitlines()[-60:])

    def end(self) -> None:
        """End all processes."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def run_case(case: Callable[[Record, Path, bool], Awaitable[int]], folder: Path, limit_s: float = 110.0) -> None:
    """Run a case and exit with its code; ``TROUBLE=0`` leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add("case", f"TROUBLE={int(trouble)}")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def limited() -> int:
        async with asyncio.timeout(limit_s):
            return await case(record, temporary, trouble)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    code = COULD_NOT_RUN
    try:
        code = asyncio.run(limited())
    except (CouldNotRun, OSError, TimeoutError) as error:
        record.add("case", f"could not run: {error!r} {error}")
    finally:
        for process in STARTED:
            process.end()
        shutil.rmtree(temporary, ignore_errors=True)
    record.add("case", {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", COULD_NOT_RUN: "no result"}[code])
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code])
    sys.exit(code)


STARTED: list[Relay] = []


def new_relay(*args: Any, **kwargs: Any) -> Relay:
    """Create a relay that is ended with the case."""
    relay = Relay(*args, **kwargs)
    STARTED.append(relay)
    return relay
