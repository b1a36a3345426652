"""Fleet tests with several real relay processes, each with a console, and fault injection on every path."""

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

PERIOD_S = 0.1  # probe interval: a tenth of the operator file's default
SETTLE_S = 0.5
SAMPLE_INTERVAL_S = 0.1  # between two samples of all views


class Node:
    """One relay over several process lifetimes."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name, self.folder, self.state = name, folder, folder / "state"
        self.state.mkdir(parents=True)
        self.console, self.port = free_port(), free_port()
        self.listen = "127.0.0.1", free_port(socket.SOCK_DGRAM)
        self.process: asyncio.subprocess.Process | None = None
        self.paused = False  # by SIGSTOP
        self.on_exit: Callable[[Node], None] = lambda _node: None

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.paused = number == signal.SIGSTOP
        elif self.alive:
            self.on_exit(self)
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self.process is not None and self.alive:
            self.on_exit(self)
            self.process.kill()
            await self.process.wait()

    async def fetch_view(self) -> dict[str, Any]:
        """Return the view from the console; empty if there is no answer."""
        try:
            status, text = await asyncio.wait_for(http_request(self.console, "GET", "/fleet"), 2.0)
        except (OSError, IndexError, TimeoutError):
            return {}
        return json.loads(text) if status == 200 else {}


class FleetEnvironment:
    """The relays of one test, and the record that the judge checks."""

    def __init__(self, folder: Path, seed: int = 1) -> None:
        self.folder, self.proxies = folder, DatagramProxies(seed)
        self.nodes: dict[str, Node] = {}
        self.seeds: list[str] = []
        self.record: list[rec.AnyEvent] = []
        self.proxies.on_path_change = self.record_path_state
        self._sampler: asyncio.Task[None] | None = None

    async def add(self, name: str, *, seed: bool = False, **fleet: Any) -> Node:
        """Add a relay with its proxy, and start it."""
        node = self.nodes[name] = Node(name, self.folder / name)
        host, port = await self.proxies.add(name, node.listen)
        if seed:
            self.seeds.append(f"{host}:{port}")
        self.write_config(node, f"{host}:{port}", **fleet)
        await self.start(node)
        return node

    def write_config(self, node: Node, address: str, **fleet: Any) -> None:
        """Write the configuration and the operator file."""
        config = {
            "name": node.name, "listen": f"127.0.0.1:{node.port}", "discovery": "127.0.0.1:9", "seed": "1",
            "console": f"127.0.0.1:{node.console}", "settings": settings_json() | {"group_size": 3},
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3.0},
            "known": {"seq": 0, "whole": True, "hosts": []},
        }  # fmt: skip
        (node.folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
        fleet_table = {
            "name": "test", "listen": "{}:{}".format(*node.listen), "advertise": address,
            "seeds": self.seeds, "period_s": PERIOD_S, "settle_s": SETTLE_S,
        } | fleet  # fmt: skip
        lines = [f"{key} = {json.dumps(value)}" for key, value in fleet_table.items()]
        (node.folder / "operator.toml").write_text("\n".join(["[fleet]", *lines, ""]), encoding="utf-8")

    async def start(self, node: Node) -> None:
        """Start the next process lifetime of a relay."""
        if self._sampler is None:
            self._sampler = asyncio.get_running_loop().create_task(self._sample_views())
        node.on_exit = self.record_exit
        self._append(rec.ProcessEvent(rec.now_us(), node.name, "start", ""))
        environment = {"ROUTER_CONFIG": str(node.folder / "config.json"), "ROUTER_STATE": str(node.state)}
        with (node.folder / "log").open("ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "mallowlug", "run", "--operator", str(node.folder / "operator.toml"),
                cwd=ROOT, env=os.environ | environment, stderr=log, stdout=log,
            )  # fmt: skip

    async def wait_until(
        self, condition: Callable[[dict[str, dict[str, Any]]], bool], *names: str
    ) -> dict[str, Any]:
        """Wait until the views of these relays (default: all running ones) meet a condition."""

        async def poll() -> dict[str, Any]:
            while True:
                chosen = names or tuple(name for name, node in self.nodes.items() if node.alive)
                found = await asyncio.gather(*(self.nodes[name].fetch_view() for name in chosen))
                tables = dict(zip(chosen, found, strict=True))
                if all(tables.values()) and condition(tables):
                    return tables
                await asyncio.sleep(0.02)

        return await soon(poll())

    async def wait_settled(self, *names: str) -> dict[str, Any]:
        """Wait until these relays agree on a view in which exactly they are alive."""
        chosen = set(names) or {name for name, node in self.nodes.items() if node.alive}
        return await self.wait_until(lambda tables: views_agree(tables, chosen), *sorted(chosen))

    def log(self, name: str) -> str:
        """Return the log of a relay over all its process lifetimes."""
        return (self.nodes[name].folder / "log").read_text(encoding="utf-8")

    async def stop(self) -> None:
        """Stop all processes, the sampler and the proxies."""
        for node in self.nodes.values():
            if node.alive:
                node.signal(signal.SIGCONT)
                await node.kill()
        if self._sampler is not None:
            self._sampler.cancel()
        self.proxies.close()

    def _append(self, event: rec.AnyEvent) -> None:
        self.record.append(event)

    def record_exit(self, node: Node) -> None:
        """Record that a process has ended or is ending."""
        self._append(rec.ProcessEvent(rec.now_us(), node.name, "exit", ""))

    def record_path_state(self, one: str, other: str, clear: bool) -> None:
        """Record that a datagram path is disturbed or clear again."""
        self._append(rec.DatagramPath(rec.now_us(), one, other, clear))

    async def _sample_views(self) -> None:
        """Record the view of each running relay periodically, for the judge."""
        while True:
            for name, node in list(self.nodes.items()):
                if node.alive and not node.paused and (table := await node.fetch_view()) and node.alive:
                    rows = {other: (row["life"], row["state"]) for other, row in table["members"].items()}
                    self._append(rec.FleetView(rec.now_us(), name, table["digest"], table["group"], rows))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def alive_members(table: dict[str, Any]) -> set[str]:
    """Return the members that a view holds alive."""
    return {name for name, row in table["members"].items() if row["state"] == "alive"}


def views_agree(tables: dict[str, Any], names: Collection[str]) -> bool:
    """Return whether all views are equal and hold exactly these relays alive."""
    digests = {table["digest"] for table in tables.values()}
    return len(digests) == 1 and all(alive_members(table) == set(names) for table in tables.values())
