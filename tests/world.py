"""The relay's test environment on loopback sockets: scripted hosts, a scripted directory and a client.

Nothing here waits for a fixed time: a test awaits a condition, under one generous time limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import struct
import sys
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

T = TypeVar("T")
WAIT_LIMIT_S = 30.0  # a longer wait counts as failed, even on a slow machine
ROOT = Path(__file__).resolve().parent.parent
CLASS_DEFAULTS = {
    "aim_us": 4_000_000,
    "deadline_us": 60_000_000,
    "worth": 1.0,
    "late_worth": 0.5,
    "stream": False,
}
CLASSES: list[dict[str, Any]] = [
    {
        "name": "keyed",
        "effect": "keyed",
        "key_scope": "zone",
        "dedup_window_us": 60_000_000,
        **CLASS_DEFAULTS,
    },
    {"name": "safe", "effect": "safe", "key_scope": "all", "dedup_window_us": 0, **CLASS_DEFAULTS},
    {"name": "unsafe", "effect": "unsafe", "key_scope": "all", "dedup_window_us": 0, **CLASS_DEFAULTS},
]
ALLOWED: dict[str, Any] = {
    "cancel": True,
    "connect_timeout_us": 10_000_000,
    "keepalive_us": 15_000_000,
    "max_retry_after_us": 2_000_000,
    "may_duplicate": True,
    "most_tries": 6,
    "open_cap": 50,
    "probes": False,
    "retry_after": True,
}
RULES = {
    "ask_within_us": 10_000_000,
    "cold_from": 0.3,
    "drain_grace_us": 500_000,
    "fall_multiple": 1.5,
    "fall_us": 3_000_000,
    "grace_to_answer_us": 20_000,
    "warm_within_us": 1_000_000,
}


def settings_json(**allowed: Any) -> dict[str, Any]:
    """Settings as nested JSON with the simulator's names; the first calls time out after over ten seconds."""
    return {
        "allowed": ALLOWED | allowed,
        "discovery": "ask",
        "domain": {
            "batch_by_kind": [10, 1],
            "calls_out": 8,
            "decay": "line",
            "kind_apart": [True, True],
            "toll": [0.0, 0.03],
        },
        "group_size": 1,
        "machine_types": ["banks", "lots"],
        "over_share_worth": 0.1,
        "request_classes": CLASSES,
        "round_us": 5000,
        "rules": RULES,
        "accounts": [{"name": "acme corp", "quota_per_s": 10.0, "share": 1.0}],
        "weights": "off",
        "zones": ["a", "b"],
    }


async def soon(awaitable: Awaitable[T]) -> T:
    """Await something that must happen, with the time limit shared by all tests."""
    return await asyncio.wait_for(awaitable, WAIT_LIMIT_S)


class Request:
    """An HTTP request that a scripted server received."""

    def __init__(self, head: bytes, body: bytes, writer: asyncio.StreamWriter, connection: int) -> None:
        first, *lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = first.split(" ", 2)
        pairs = (line.split(": ", 1) for line in lines if line)
        self.headers = {name.lower(): value for name, value in pairs}
        self.body, self.writer, self.connection = body, writer, connection
        self.at_s = asyncio.get_running_loop().time()

    @property
    def ids(self) -> list[str]:
        """The ids of the messages in the request."""
        if self.target == "/hook":
            return [self.headers["x-txn"]]
        message_ids, rest = [], self.body
        while rest:
            line, _, rest = rest.partition(b"\r\n")
            name, _key, size = line.split()
            message_ids.append(name.decode())
            assert rest[int(size) : int(size) + 2] == b"\r\n"
            rest = rest[int(size) + 2 :]
        return message_ids

    def answer(self, status: int = 200, body: str = "", **headers: str) -> None:
        """Write a complete response."""
        header_lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        size = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
        self.writer.write(f"HTTP/1.1 {status} X\r\n{header_lines}{size}\r\n{body}".encode())

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


Reply = Callable[[Request], None]


class HttpServer:
    """A server on its own port: each request is answered by the next scripted reply, then by the default."""

    def __init__(self, default: Reply) -> None:
        self.default, self.script = default, deque[Reply]()
        self.seen: list[Request] = []
        self.connections, self._changed = 0, asyncio.Condition()
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n"))[:-4]
                size = [
                    line[16:] for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")
                ]
                body = await reader.readexactly(int(size[0])) if size else b""
                request = Request(head, body, writer, number)
                (self.script.popleft() if self.script else self.default)(request)
                async with self._changed:
                    self.seen.append(request)
                    self._changed.notify_all()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def until(self, enough: Callable[[], Any]) -> None:
        """Wait until the condition holds, checking it after each request."""
        async with self._changed:
            await soon(self._changed.wait_for(enough))

    async def call(self, number: int) -> Request:
        """Wait for the request with that index and return it."""
        await self.until(lambda: len(self.seen) > number)
        return self.seen[number]

    def stop(self) -> None:
        """Refuse new connections and break the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def silent(_request: Request) -> None:
    """Receive the call and send no response."""


def delivered(request: Request) -> None:
    """Deliver everything in the call."""
    request.answer(200, "".join(f"{ref} delivered\r\n" for ref in request.ids if request.target != "/hook"))


class Directory(HttpServer):
    """Discovery: the list with its watches, and the platform's notices."""

    def __init__(self) -> None:
        super().__init__(self._reply)
        self.seq, self.hosts = 1, dict[str, dict[str, Any]]()
        self.notices: list[dict[str, Any]] = []
        self.down, self.heartbeat = False, True
        self._watches: list[Request] = []
        self._heartbeat_task: asyncio.Task[None] | None = None

    def _reply(self, request: Request) -> None:
        if request.method == "POST":
            self.notices += [json.loads(line) for line in request.body.splitlines()]
            request.answer(204)
        elif self.down:
            request.answer(503)
        else:
            request.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._watches.append(request)
            self.send_list(request, True, list(self.hosts.values()))

    async def start(self) -> None:
        """Listen, and send heartbeats to the watches."""
        await super().start()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(1)
            for request in self._watches if self.heartbeat else ():
                self.send_chunk(request, b"\n")

    def stop(self) -> None:
        """Stop the server and the heartbeats."""
        super().stop()
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()

    def send_list(self, request: Request, whole: bool, hosts: list[dict[str, Any]]) -> None:
        """Send a list to a watch as one line."""
        self.send_chunk(
            request, json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}).encode() + b"\n"
        )

    def send_chunk(self, request: Request, line: bytes) -> None:
        """Send a chunk to a watch."""
        request.writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    def garble(self) -> None:
        """Send invalid data to the watches."""
        for request in self._watches:
            self.send_chunk(request, b"{nonsense\n")
        self._watches.clear()

    def lose(self) -> None:
        """Take discovery down: reset its watches and fail new ones."""
        self.down = True
        for request in self._watches:
            request.reset()
        self._watches.clear()

    def change(self, host: str, **fields: Any) -> None:
        """Add or change a host entry and send it to the watches."""
        self.seq += 1
        self.hosts[host] = {"host": host, "site": "a", "class": "lots", "block": 1, "share": 1.0} | (
            self.hosts.get(host, {"health": "SERVING"}) | fields
        )
        for request in self._watches:
            self.send_list(request, False, [self.hosts[host]])

    async def notice(self, ref: str) -> dict[str, Any]:
        """Wait for the notice for a message and return it."""
        await self.until(lambda: any(n["ref"] == ref for n in self.notices))
        return next(n for n in self.notices if n["ref"] == ref)


class Client:
    """A client's connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def send_raw(self, data: bytes) -> bytes:
        """Write bytes and read one line of answer."""
        self.writer.write(data)
        return (await soon(self.reader.readline())).rstrip()

    async def command(self, *args: bytes) -> bytes:
        """Send a request and return its answer."""
        return await self.send_raw(encode_command(*args))

    async def submit(self, ref: str, cls: str = "safe", d: int = 30_000, dest: int = 1) -> bytes:
        """Submit a message and return the answer."""
        return await self.command(*enqueue(ref, cls, d, dest))

    async def submit_until_accepted(self, ref: str, cls: str = "safe", dest: int = 1) -> None:
        """Submit a message until it is accepted: the relay learns of a new destination with a delay."""

        async def again() -> None:
            while await self.submit(ref, cls, dest=dest) != b"+OK":
                await asyncio.sleep(0.02)

        await soon(again())


def encode_command(*args: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(args) + b"".join(b"$%d\r\n%s\r\n" % (len(arg), arg) for arg in args)


def enqueue(
    ref: str, cls: str = "safe", d: int = 30_000, dest: int = 1, body: bytes = b"hello"
) -> tuple[bytes, ...]:
    """The arguments of an ENQUEUE request."""
    names = f"c={cls},t=acme_corp,d={d},k=key-{ref},dest={dest}"
    return b"ENQUEUE", b"0" * 16, ref.encode(), names.encode(), body


# Below the ephemeral ports of the system, any of which may be in use before a process listens on it.
PORTS = range(12_000, 32_000)
_given_ports: set[int] = set()


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a loopback port that is not in use and was not returned before.

    For a process that gets its port as a setting and keeps it over restarts; ports are drawn at random, so
    that parallel test runs rarely collide.
    """
    while True:
        port = secrets.choice(PORTS)
        if port in _given_ports:
            continue
        with socket.socket(type=kind) as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            _given_ports.add(port)
            return port


async def http_request(port: int, method: str, target: str) -> tuple[int, str]:
    """Make one HTTP request, as to a console; return status and body."""
    reader, writer = await soon(asyncio.open_connection("127.0.0.1", port))
    writer.write(f"{method} {target} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
    head, _, body = (await soon(reader.read())).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split(b" ", 2)[1]), body.decode()


class World:
    """Test environment: a directory, the hosts that a test adds, and the real process of one relay."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.state = folder, folder / "state"
        self.directory, self.hosts = Directory(), dict[str, HttpServer]()
        self.former_directories: list[Directory] = []  # directories at previous addresses
        self.process: asyncio.subprocess.Process | None = None
        self.other_processes: list[asyncio.subprocess.Process] = []  # started besides or before ``process``
        self.former_process: asyncio.subprocess.Process  # the predecessor of ``process``
        self.known_hosts: list[dict[str, Any]] = []
        self.settings = settings_json()
        self.disk_mb, self.sockets = 3.0, 1024
        self.arguments: tuple[str, ...] = ()  # after `python -m mallowlug`
        self.environment_variables: dict[str, str] = {}  # besides those for file and folder
        # A separate loopback address: no other program can take the port before the relay does.
        self.address = "127." + ".".join(str(secrets.randbelow(253) + 1) for _ in range(3))
        with socket.socket() as sock:
            sock.bind((self.address, 0))
            self.port = sock.getsockname()[1]

    async def start(self) -> None:
        """Start the directory; the test starts the relay."""
        self.state.mkdir()
        await self.directory.start()

    async def stop(self) -> None:
        """Stop all processes and servers."""
        if self.process is not None and self.process.returncode is None:
            await self.kill()
        for process in self.other_processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in (self.directory, *self.former_directories, *self.hosts.values()):
            server.stop()

    async def add(
        self, name: str, default: Reply = delivered, kind: str = "lots", listens: bool = True, **fields: Any
    ) -> HttpServer:
        """Add a host to the list; one that does not listen refuses connections."""
        host = self.hosts[name] = HttpServer(default)
        await host.start()
        if not listens:
            host.stop()
        self.directory.change(name, dial=f"127.0.0.1:{host.port}", **{"class": kind}, **fields)
        return host

    def open_console(self) -> int:
        """Configure a console for relays started from now on; return its port."""
        port = free_port()
        self.environment_variables["ROUTER_CONSOLE"] = f"127.0.0.1:{port}"
        return port

    def list_unserved_destination(self, dest: int) -> None:
        """List a destination without a host that serves it."""
        self.directory.change(f"none-{dest}", dial="127.0.0.1:1", block=dest, health="DRAINING")

    async def wait_for_journal(self, word: bytes) -> None:
        """Wait until the relay's journal contains the bytes."""

        async def found() -> None:
            while word not in (self.state / "journal").read_bytes():
                await asyncio.sleep(0.01)

        await soon(found())

    def environment(self) -> dict[str, str]:
        """Write the configuration file and return the environment of the relay's process."""
        config = {
            "name": "n0",
            "listen": f"{self.address}:{self.port}",
            "discovery": f"127.0.0.1:{self.directory.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets, "disk_mb": self.disk_mb},
            "known": {"seq": 0, "whole": True, "hosts": self.known_hosts},
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        new_path = path.with_suffix(".new")  # replaced atomically: a starting process may be reading it
        new_path.write_text(json.dumps(config), encoding="utf-8")
        new_path.replace(path)
        return (
            os.environ
            | {"ROUTER_CONFIG": str(path), "ROUTER_STATE": str(self.state)}
            | self.environment_variables
        )

    async def reload(self, text: str | None = None) -> None:
        """Rewrite the configuration file, with the given text if any, and send SIGHUP."""
        self.environment()
        if text is not None:
            (self.folder / "config.json").write_text(text, encoding="utf-8")
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    async def move_directory(self) -> Directory:
        """Move discovery to another address with the same list; return the old one, which still serves."""
        old, self.directory = self.directory, Directory()
        self.directory.seq, self.directory.hosts = old.seq, dict(old.hosts)
        await self.directory.start()
        self.former_directories.append(old)
        return old

    async def run(self) -> Client:
        """Start the relay's process; return a client once it answers."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "mallowlug", *self.arguments, cwd=ROOT, env=self.environment()
        )
        client = await self.client()
        assert await client.command(b"PING") == b"+PONG"
        return client

    async def client(self) -> Client:
        """Connect a client as soon as the relay listens."""

        async def connect() -> Client:
            while True:
                try:
                    return Client(*await asyncio.open_connection(self.address, self.port))
                except OSError:
                    await asyncio.sleep(0.02)

        return await soon(connect())

    async def kill(self) -> None:
        """Kill the relay with SIGKILL."""
        assert self.process is not None
        self.process.kill()
        await self.process.wait()

    async def kill_and_restart(self) -> Client:
        """Kill the relay with SIGKILL and restart it with the same folder."""
        await self.kill()
        return await self.run()
