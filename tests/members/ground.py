"""Several real processes of the program, each with a console, and fault points on every way between two."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.fronts import DatagramProxies
from tests.world import ROOT, free_port, http_request, settings_json, soon

PERIOD_S = 0.1  # between two probes: a tenth of what the operator file has
SETTLE_S = 0.5
LOOK_S = 0.1  # between two looks at all views


class Node:
    """One relay over its lives."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder, self.state = name, folder, folder / "state"
        self.state.mkdir(parents=True)
        self.console, self.port = free_port(), free_port()
        self.listen = "127.0.0.1", free_port(socket.SOCK_DGRAM)
        self.process: asyncio.subprocess.Process | None = None
        self.still = False  # stopped by a signal
        self.ended: Callable[[Node], None] = lambda _node: None

    @property
    def alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Signal its process."""
        assert self.process is not None
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.still = number == signal.SIGSTOP
        elif self.alive:
            self.ended(self)
        self.process.send_signal(number)

    async def kill(self) -> None:
        """SIGKILL."""
        if self.process is not None and self.alive:
            self.ended(self)
            self.process.kill()
            await self.process.wait()

    async def table(self) -> dict[str, Any]:
        """Its view, as the console tells it; empty where nobody answers."""
        try:
            status, text = await asyncio.wait_for(http_request(self.console, "GET", "/fleet"), 2.0)
        except (OSError, IndexError, TimeoutError):
            return {}
        return json.loads(text) if status == 200 else {}


class Ground:
    """The relays of one test."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        self.folder, self.fronts = folder, DatagramProxies(seed)
        self.nodes: dict[str, Node] = {}
        self.seeds: list[str] = []
        self.record: list[rec.AnyEvent] = []
        self.fronts.on_path_change = self.way
        self._looking: asyncio.Task[None] | None = None

    async def add(self, name: str, *, seed: bool = False, **fleet: Any) -> Node:
        """A relay with its front, started."""
        node = self.nodes[name] = Node(name, self.folder / name)
        host, port = await self.fronts.add(name, node.listen)
        if seed:
            self.seeds.append(f"{host}:{port}")
        self.write(node, f"{host}:{port}", **fleet)
        await self.start(node)
        return node

    def write(self, node: Node, address: str, **fleet: Any) -> None:
        """Its configuration and its operator file."""
        config = {
            "name": node.name, "listen": f"127.0.0.1:{node.port}", "discovery": "127.0.0.1:9", "seed": "1",
            "console": f"127.0.0.1:{node.console}", "settings": settings_json() | {"group_size": 3},
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3.0},
            "known": {"seq": 0, "whole": True, "hosts": []},
        }  # fmt: skip
        (node.folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
        told = {
            "name": "test", "listen": "{}:{}".format(*node.listen), "advertise": address,
            "seeds": self.seeds, "period_s": PERIOD_S, "settle_s": SETTLE_S,
        } | fleet  # fmt: skip
        lines = [f"{key} = {json.dumps(value)}" for key, value in told.items()]
        (node.folder / "operator.toml").write_text("\n".join(["[fleet]", *lines, ""]), encoding="utf-8")

    async def start(self, node: Node) -> None:
        """Its next life."""
        if self._looking is None:
            self._looking = asyncio.get_running_loop().create_task(self._look())
        node.ended = self.died
        self._note(rec.Process(rec.now_us(), node.name, "start", ""))
        told = {"ROUTER_CONFIG": str(node.folder / "config.json"), "ROUTER_STATE": str(node.state)}
        with (node.folder / "log").open("ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "mallowlug", "run", "--operator", str(node.folder / "operator.toml"),
                cwd=ROOT, env=os.environ | told, stderr=log, stdout=log,
            )  # fmt: skip

    async def until(self, enough: Callable[[dict[str, dict[str, Any]]], bool], *names: str) -> dict[str, Any]:
        """Wait until the views of these relays (or of all that run) are as they should be."""

        async def looked() -> dict[str, Any]:
            while True:
                chosen = names or tuple(name for name, node in self.nodes.items() if node.alive)
                found = await asyncio.gather(*(self.nodes[name].table() for name in chosen))
                tables = dict(zip(chosen, found, strict=True))
                if all(tables.values()) and enough(tables):
                    return tables
                await asyncio.sleep(0.02)

        return await soon(looked())

    async def settled(self, *names: str) -> dict[str, Any]:
        """Wait until these relays hold the same view, and in it each other alone as alive."""
        chosen = set(names) or {name for name, node in self.nodes.items() if node.alive}
        return await self.until(lambda tables: agreed(tables, chosen), *sorted(chosen))

    def log(self, name: str) -> str:
        """What a relay has logged over all its lives."""
        return (self.nodes[name].folder / "log").read_text(encoding="utf-8")

    async def stop(self) -> None:
        """End everything."""
        for node in self.nodes.values():
            if node.alive:
                node.signal(signal.SIGCONT)
                await node.kill()
        if self._looking is not None:
            self._looking.cancel()
        self.fronts.close()

    def _note(self, event: rec.AnyEvent) -> None:
        self.record.append(event)

    def died(self, node: Node) -> None:
        """A process has ended, or ends now."""
        self._note(rec.Process(rec.now_us(), node.name, "exit", ""))

    def way(self, one: str, other: str, clear: bool) -> None:
        """A way is disturbed, or as it should be again."""
        self._note(rec.Way(rec.now_us(), one, other, clear))

    async def _look(self) -> None:
        """Write down what each relay holds, again and again, for the judge."""
        while True:
            for name, node in list(self.nodes.items()):
                if node.alive and not node.still and (table := await node.table()) and node.alive:
                    rows = {other: (row["life"], row["state"]) for other, row in table["members"].items()}
                    self._note(rec.Held(rec.now_us(), name, table["digest"], table["group"], rows))
            await asyncio.sleep(LOOK_S)


def alive(table: dict[str, Any]) -> set[str]:
    """Who is held alive."""
    return {name for name, row in table["members"].items() if row["state"] == "alive"}


def agreed(tables: dict[str, Any], names: Collection[str]) -> bool:
    """Whether all hold the same, and each other alone as alive."""
    digests = {table["digest"] for table in tables.values()}
    return len(digests) == 1 and all(alive(table) == set(names) for table in tables.values())
