"""Stand-ins for the cases of the second review: platform, hosts, clients, and the relay's processes.

Only the standard library is used. All addresses are loopback addresses with free ports.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The settings of a small deployment, in the form and with the figures of the wire page's example.
SETTINGS = {
    "accounts": [{"name": "parqueos-centro", "quota_per_s": 17.0, "share": 0.34},
                 {"name": "estaciona-sur", "quota_per_s": 10.0, "share": 0.2}],
    "allowed": {"cancel": True, "connect_timeout_us": 1000000, "cpu_us_per_request": 0.0,
                "cpu_us_per_s": 80000, "keepalive_us": 15000000, "max_retry_after_us": 2000000,
                "may_duplicate": True, "most_tries": 6, "open_cap": 240, "peer_messages": False,
                "probes": False, "retry_after": True, "streams_per_conn": 1},
    "clients": {"marks_retry": False},
    "discovery": "ask",
    "domain": {"batch_by_kind": [10, 1], "calls_out": 5, "decay": "line", "kind_apart": [True, True],
               "notes": "full: milliseconds to wait; moot: 1 no slot was free", "refused_price": 0.0,
               "report_x0": "share of the allowance that is left", "report_x1": "calls a second",
               "toll": [0.0, 0.03]},
    "family": "deliver",
    "goal": {"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.3},
    "group_size": 2,
    "load_info": {"columns": ["x0", "x1"], "how": "inline"},
    "machine_types": ["banks", "lot-systems"],
    "my_number": 0,
    "over_share_worth": 0.1,
    "prices": {"connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.04,
               "late_fail": 0.02, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.08},
    "request_classes": [
        {"aim_us": 4000000, "deadline_us": 24000000, "dedup_window_us": 25000000, "effect": "keyed",
         "key_scope": "zone", "late_worth": 0.4, "name": "payment-postings", "stream": False, "worth": 1.0},
        {"aim_us": 3000000, "deadline_us": 24000000, "dedup_window_us": 5000000, "effect": "safe",
         "key_scope": "all", "late_worth": 0.5, "name": "session-status", "stream": False, "worth": 3.0}],
    "round_us": 5000,
    "rules": {"ask_within_us": 10000000, "cold_from": 0.27, "drain_grace_us": 500000, "fall_multiple": 1.5,
              "fall_us": 3000000, "grace_to_answer_us": 20000, "warm_within_us": 13000000},
    "tier": 0, "tiers": ["partner-systems"], "weights": "off", "worth_by": "request",
    "zone": "floor-3", "zones": ["floor-2", "floor-3"],
}


def settings(**changes) -> dict:
    """Return a copy of the settings; ``changes`` are merged into its objects by name."""
    result = copy.deepcopy(SETTINGS)
    for name, value in changes.items():
        if isinstance(value, dict) and isinstance(result.get(name), dict):
            result[name].update(value)
        else:
            result[name] = value
    return result


class CouldNotRun(Exception):
    """The case could not run; exit code 2."""


class Record:
    """``record.txt``: one line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.start_s = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def __call__(self, *words: object) -> None:
        print(f"{time.monotonic() - self.start_s:8.3f}", *words, file=self._file, flush=True)

    @property
    def now(self) -> float:
        return time.monotonic() - self.start_s


def message_id() -> str:
    return secrets.token_hex(8)


def free_port(ip: str = "127.0.0.1") -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def read_request(reader: asyncio.StreamReader):
    """Read one HTTP/1.1 request; return method, target, headers, body and when its first byte came."""
    first = await reader.readexactly(1)
    first_s = time.monotonic()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.split("\r\n")
    method, target, _ = line.split(" ", 2)
    headers = {}
    for item in rest:
        name, sign, value = item.partition(":")
        if sign:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body, first_s


class Platform:
    """Discovery, with the list and watches, and notices."""

    def __init__(self, record: Record) -> None:
        self.record, self.seq, self.hosts, self.notices = record, 41, {}, {}
        self.address, self.down = "", False
        self._watches: dict[asyncio.StreamWriter, None] = {}
        self._servers = []

    async def listen(self) -> str:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._servers.append(server)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return self.address

    def add(self, host: str, dial: str, block: int, site: str = "floor-2", kind: str = "banks") -> None:
        self.hosts[host] = {"host": host, "dial": dial, "site": site, "class": kind, "block": block,
                            "health": "SERVING", "share": 1.0, "born_ms": 0}

    def whole(self) -> dict:
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, host: str, health: str) -> None:
        """Change a host's health and write it to all watches."""
        entry = self.hosts[host] = {**self.hosts[host], "health": health}
        self.seq += 1
        if health == "DELETED":
            del self.hosts[host]
        self.record("discovery", host, health, "to", len(self._watches), "watches")
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": [entry]}).encode() + b"\n"
        for writer in list(self._watches):
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while True:
                method, target, _, body, _ = await read_request(reader)
                if method == "POST" and target == "/v1/notices":
                    for line in body.splitlines():
                        notice = json.loads(line)
                        self.record("notice", notice["ref"], notice["result"])
                        self.notices.setdefault(notice["ref"], []).append((self.record.now, notice["result"]))
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif self.down:
                    writer.write(answer(503))
                elif "watch=1" in target:
                    await self._watch(writer)
                    return
                else:
                    text = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        writer.close()

    async def _watch(self, writer) -> None:
        self.record("discovery: a watch begins")
        line = json.dumps(self.whole()).encode() + b"\n"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line))
        self._watches[writer] = None
        try:
            while not writer.is_closing():
                await asyncio.sleep(1.5)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        finally:
            self._watches.pop(writer, None)
            writer.close()


class Call:
    """One call that a host got whole."""

    def __init__(self, host, messages, headers, writer, at, first_at) -> None:
        self.host, self.messages, self.headers, self.writer = host, messages, headers, writer
        self.at, self.first_at = at, first_at  # seconds of the record: last and first byte

    @property
    def ids(self) -> list[str]:
        return [item[0] for item in self.messages]


class Host:
    """One endpoint. ``behave(call)`` is a coroutine that returns the bytes of the answer, or None to close."""

    def __init__(self, name: str, record: Record, behave=None) -> None:
        self.name, self.record, self.behave = name, record, behave or self.delivered
        self.calls: list[Call] = []
        self.address, self._server = "", None
        self.open: set = set()

    async def listen(self, port: int = 0) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        return self.address

    def stop(self) -> None:
        """Refuse connections and reset those that are open, as a process that dies does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.open):
            writer.transport.abort()

    @staticmethod
    async def delivered(call: Call, after_s: float = 0.02) -> bytes:
        """A sound host: all messages of the call are delivered."""
        await asyncio.sleep(after_s)
        return answer_delivered(call)

    async def _serve(self, reader, writer) -> None:
        self.open.add(writer)
        try:
            while True:
                _, target, headers, body, first_s = await read_request(reader)
                if target == "/hook":
                    messages = [(headers["x-txn"], headers.get("idempotency-key", ""), body)]
                else:
                    messages, rest = [], body
                    while rest:
                        line, _, rest = rest.partition(b"\r\n")
                        ref, key, size = line.decode().split(" ")
                        messages.append((ref, key, rest[: int(size)]))
                        rest = rest[int(size) + 2 :]
                call = Call(self.name, messages, headers, writer, self.record.now,
                            first_s - self.record.start_s)
                self.calls.append(call)
                self.record("call", self.name, *call.ids)
                answer = await self.behave(call)
                if answer is None:
                    break
                self.record("answer", self.name, answer.split(b"\r\n")[0].decode("latin-1"), *call.ids)
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


def answer_delivered(call: Call) -> bytes:
    body = b""
    if len(call.messages) > 1:
        body = b"".join(b"%s delivered\r\n" % ref.encode() for ref in call.ids)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def answer(status: int, **headers: str) -> bytes:
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: 0\r\n\r\n".encode()


def encode(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def enqueue(ref: str, cls: str, dest: int, ms: int, key: str = "", order: str = "0" * 16, body: bytes = b"x",
            tenant: str = "parqueos-centro") -> bytes:
    fields = f"c={cls},t={tenant},d={ms}" + (f",k={key}" if key else "") + f",dest={dest}"
    return encode(b"ENQUEUE", order.encode(), ref.encode(), fields.encode(), body)


class Client:
    """A client with one connection that it keeps, and opens anew when it was closed between requests."""

    def __init__(self, address: str, record: Record) -> None:
        self.address, self.record, self._streams = address, record, None

    async def send(self, ref: str, cls: str, dest: int, ms: int, **more) -> str:
        """Hand in a message; return its answer's line, "" where the connection ended or nothing came."""
        request = enqueue(ref, cls, dest, ms, **more)
        line = ""
        for _ in range(2):
            try:
                if self._streams is None:
                    ip, _, port = self.address.rpartition(":")
                    self._streams = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 0.4)
                reader, writer = self._streams
                self.record("send", ref, cls, f"dest={dest} d={ms}", f"order={more.get('order', '-')}")
                writer.write(request)
                line = (await asyncio.wait_for(reader.readline(), 0.4)).decode().strip()
            except (OSError, asyncio.TimeoutError):
                line = ""
            self.record("told", ref, line or "nothing")
            if line:
                return line
            self.close()
        return line

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Relay:
    """The relay's processes, started by the deploy file's ``run`` line."""

    def __init__(self, record: Record, folder: Path, platform: Platform, values: dict, *, console: bool = False,
                 limits: dict | None = None, nofile: int = 0) -> None:
        self.record, self.folder, self.platform, self.values = record, folder, platform, values
        self.state, self.nofile = folder / "state", nofile
        self.state.mkdir(exist_ok=True)
        self.listen = "127.0.0.1:%d" % free_port()
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self.console = console
        self.processes: list[asyncio.subprocess.Process] = []
        self.run_line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]

    def write_config(self, **changes) -> None:
        value = {"name": "n1", "listen": self.listen, "discovery": self.platform.address,
                 "seed": secrets.token_hex(8), "limits": self.limits, "known": self.platform.whole(),
                 "settings": self.values, **changes}
        (self.folder / "config.json").write_text(json.dumps(value))

    async def spawn(self):
        """Start one process; return it and its console's address."""
        if not (ROOT / ".venv/bin/python").exists():
            raise CouldNotRun("the build of the deploy file has not run")
        temporary = Path(tempfile.mkdtemp(dir=self.folder))
        environ = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        environ |= {"ROUTER_CONFIG": str(self.folder / "config.json"), "ROUTER_STATE": str(self.state),
                    "ROUTER_NAME": "n1", "ROUTER_LISTEN": self.listen,
                    "ROUTER_DISCOVERY": self.platform.address, "TMPDIR": str(temporary)}
        console = ""
        if self.console:
            console = environ["ROUTER_CONSOLE"] = "127.0.0.1:%d" % free_port()
        line = (f"ulimit -n {self.nofile}; " if self.nofile else "") + self.run_line
        with (self.folder / "relay.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", line, cwd=ROOT, env=environ, stdout=log, stderr=log, start_new_session=True)
        self.processes.append(process)
        self.record("relay: process started", len(self.processes))
        return process, console

    async def start(self):
        """Start one process and wait until it answers PING."""
        process, console = await self.spawn()
        last_s = time.monotonic() + 30
        ip, _, port = self.listen.rpartition(":")
        while time.monotonic() < last_s and process.returncode is None:
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(encode(b"PING"))
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    self.record("relay: ready")
                    return process, console
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.02)
        raise CouldNotRun("the relay did not become ready")

    async def kill(self, process, number=signal.SIGKILL) -> None:
        self.record("relay: signal", signal.Signals(number).name, "to process", self.processes.index(process) + 1)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()


async def console_call(address: str, method: str, target: str) -> int:
    """Make one call at a console; return its status, 0 where none came within 1 s."""
    ip, _, port = address.rpartition(":")
    with contextlib.suppress(OSError, asyncio.TimeoutError, IndexError, ValueError):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
        writer.write(f"{method} {target} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
        data = await asyncio.wait_for(reader.read(), 1)
        writer.close()
        return int(data.split(b" ", 2)[1])
    return 0


async def until(condition, timeout_s: float, step_s: float = 0.01) -> bool:
    last_s = time.monotonic() + timeout_s
    while time.monotonic() < last_s:
        if condition():
            return True
        await asyncio.sleep(step_s)
    return bool(condition())


def main(case, here: str) -> None:
    """Run a case: a coroutine function of (record, folder) that returns the list of what broke the rule."""
    folder = Path(here).resolve().parent
    record = Record(folder)
    record("TROUBLE", int(TROUBLE))

    async def play() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as name:
            relays: list[Relay] = []
            try:
                broken = await asyncio.wait_for(case(record, Path(name), relays), 115)
            except Exception as error:  # a mistake of the script is no broken rule
                record("could not run:", repr(error))
                print("could not run:", repr(error))
                return 2
            finally:
                for relay in relays:
                    await relay.end()
                    log = relay.folder / "relay.log"
                    if log.exists():
                        for line in log.read_text(errors="replace").splitlines()[-60:]:
                            record("relay's log:", line)
        for line in broken:
            record("BROKEN:", line)
            print("BROKEN:", line)
        if not broken:
            record("held")
            print("held")
        return 1 if broken else 0

    sys.exit(asyncio.run(play()))
