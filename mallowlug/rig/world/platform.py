"""Simulated platform services: endpoint discovery with watches, and notices.

Each relay has its own server address, which identifies the relay that watches or sends a notice.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.httpd import AddressAllocator, Connection, Request, Server
from mallowlug.rig.world.repeats import AnswerRepeater

HEARTBEAT_S = 1.5  # s between empty lines that keep a watch alive
HEALTH_BY_STATE: dict[str, Any] = {"ready": "SERVING", "draining": "DRAINING", "gone": "DELETED"}


class EndpointDirectory:
    """The versioned list of endpoints that discovery publishes."""

    def __init__(self) -> None:
        self.seq = 0
        self.entries: dict[str, dict[str, Any]] = {}

    def set_state(self, host: str, state: str, **fields: Any) -> dict[str, Any]:
        """Change one endpoint in a new version; return the entry as published."""
        self.seq += 1
        entry = self.entries.get(host, {"host": host, "share": 1.0, "born_ms": 0})
        entry = entry | fields | {"health": HEALTH_BY_STATE[state]}
        if state == "gone":
            self.entries.pop(host, None)
        else:
            self.entries[host] = entry
        return entry

    def snapshot(self) -> dict[str, Any]:
        """Return the complete current list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}


class DiscoveryServer(Server):
    """Discovery and notices at the address of one relay."""

    def __init__(
        self,
        relay: str,
        directory: EndpointDirectory,
        writer: rec.RecordWriter,
        on_notice: Callable[[rec.Notice], None],
        addresses: AddressAllocator,
    ) -> None:
        super().__init__(addresses)
        self.relay, self.directory, self.writer, self.on_notice = relay, directory, writer, on_notice
        self.down = False
        self.dial_address: Callable[[str], str] = str  # endpoint name to the address this relay connects to
        self.watches: dict[Connection, None] = {}
        self.repeater = AnswerRepeater()
        self.last_sent = {
            "seq": 0,
            "whole": True,
            "hosts": [],
        }  # last list sent; the relay's next start gets it
        self._heartbeat_timer: asyncio.TimerHandle | None = None
        self._blocked = False
        self._withheld: list[tuple[str, Any]] = []  # sent while the link is blocked

    def set_blocked(self, blocked: bool) -> None:
        """Block or unblock the link to the relay: updates written while blocked are not received."""
        if self._blocked != blocked and self.watches:
            self.writer.add(rec.WatchChange(self.writer.now, self.relay, not blocked))
        self._blocked = blocked
        if not blocked:  # updates written meanwhile arrive now, if the connection survived
            for host, state in self._withheld:
                self.writer.add(rec.StateAnnounced(self.writer.now, self.relay, host, state))
            self._withheld.clear()

    async def listen(self) -> None:
        """Listen, and send heartbeats to the watches."""
        await super().listen()
        self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        self._heartbeat_timer = asyncio.get_running_loop().call_later(HEARTBEAT_S, self._send_heartbeats)
        for connection in self.watches:
            connection.send_chunk(b"\n")

    def stop(self) -> None:
        """Stop heartbeats and close all connections."""
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        self.stop_listening()

    def connection_closed(self, connection: Connection) -> None:
        if connection in self.watches:
            self.watches.pop(connection, None)
            if not self.watches:
                self._withheld.clear()
                self.writer.add(rec.WatchChange(self.writer.now, self.relay, False))

    def answer_written(self, connection: Connection) -> None:
        self.repeater.answer_written(connection, self._record_repeat)

    def _record_repeat(self, connection: Connection) -> None:
        event = rec.AnswerRepeated(self.writer.now, f"platform of {self.relay}", connection.number)
        self.writer.add(event)

    def request_received(self, request: Request) -> None:
        """Serve the list, a watch or notices; notices are accepted even while discovery is down."""
        if request.method == "POST" and request.target == "/v1/notices":
            self._receive_notices(request)
        elif request.method != "GET" or not request.target.startswith("/discovery/hosts"):
            request.connection.answer(404)
        elif self.down:
            request.connection.answer(503)
        elif "watch=1" not in request.target:
            request.connection.answer(
                200, {}, json.dumps(self.with_dial_addresses(self.directory.snapshot())).encode()
            )
        else:
            request.connection.start_stream()
            if not self.watches:
                self.writer.add(rec.WatchChange(self.writer.now, self.relay, True))
            self.watches[request.connection] = None
            self._send_update(request.connection, self.directory.snapshot())

    def _receive_notices(self, request: Request) -> None:
        notices = list[rec.Notice]()
        try:
            for line in request.body.splitlines():
                fields = json.loads(line)
                wait_us = int(fields.get("wait_ms", 0)) * 1000
                if fields["result"] not in ("dead", "bounced"):
                    raise ValueError(fields["result"])
                notices.append(
                    rec.Notice(self.writer.now, self.relay, fields["ref"], fields["result"], wait_us)
                )
        except (ValueError, KeyError, TypeError) as error:
            self.writer.add(rec.Annotation(self.writer.now, "bad notice", repr(error)))
            request.connection.answer(400)
            return
        for notice in notices:
            self.writer.add(notice)
            self.on_notice(notice)
        request.connection.answer(204)

    def with_dial_addresses(self, update: dict[str, Any]) -> dict[str, Any]:
        """Add to an update the addresses that this relay connects to."""
        return update | {"hosts": [e | {"dial": self.dial_address(e["host"])} for e in update["hosts"]]}

    def _send_update(self, connection: Connection, update: dict[str, Any]) -> None:
        update = self.with_dial_addresses(update)
        state_by_health: dict[str, Any] = {health: state for state, health in HEALTH_BY_STATE.items()}
        for entry in update["hosts"]:
            state = state_by_health[entry["health"]]
            if self._blocked and state != "ready":
                self._withheld.append((entry["host"], state))
            else:  # a link cut after some bytes may have passed it, and a relay that received it may send
                self._withheld = [withheld for withheld in self._withheld if withheld[0] != entry["host"]]
                self.writer.add(rec.StateAnnounced(self.writer.now, self.relay, entry["host"], state))
        connection.send_chunk(json.dumps(update).encode() + b"\n")
        self.last_sent = self.with_dial_addresses(self.directory.snapshot())

    def send_change(self, entry: dict[str, Any], seq: int) -> None:
        """Send a change to all watches."""
        for connection in self.watches:
            self._send_update(connection, {"seq": seq, "whole": False, "hosts": [entry]})

    def go_down(self) -> None:
        """Take discovery down and reset the watches."""
        self.down = True
        for connection in list(self.watches):
            connection.reset()


class Platform:
    """One endpoint directory for all relays, each with its own server; changes are published late."""

    def __init__(
        self,
        writer: rec.RecordWriter,
        late_s: tuple[float, float],
        rng: random.Random,
        addresses: AddressAllocator | None = None,
    ) -> None:
        self.writer, self._delay_range_s, self._rng, self._addresses = (
            writer,
            late_s,
            rng,
            addresses or AddressAllocator(),
        )
        self.directory, self.repeater = EndpointDirectory(), AnswerRepeater()
        self.servers: dict[str, DiscoveryServer] = {}  # by relay
        self.former_servers: list[DiscoveryServer] = []
        self.on_notice: Callable[[rec.Notice], None] = lambda _notice: None
        self.dial_address: Callable[[str, str], str] = lambda _relay, host: host

    async def add_server(self, relay: str) -> DiscoveryServer:
        """Start discovery at a new address for a relay; a previous server runs until it is stopped."""
        server = DiscoveryServer(relay, self.directory, self.writer, self._forward_notice, self._addresses)
        server.dial_address = lambda host: self.dial_address(relay, host)
        server.repeater = self.repeater
        if previous := self.servers.get(relay):
            server.last_sent, server.down = previous.last_sent, previous.down
            self.former_servers.append(previous)
        self.servers[relay] = server
        await server.listen()
        return server

    def _forward_notice(self, notice: rec.Notice) -> None:
        self.on_notice(notice)

    def set_state(self, host: str, state: Any, delayed: bool = True, **fields: Any) -> None:
        """Change an endpoint's state now; the list shows it after a random delay if ``delayed``."""
        self.writer.add(rec.DirectoryChange(self.writer.now, host, state))
        if delayed:
            delay_s = self._rng.uniform(*self._delay_range_s)
            asyncio.get_running_loop().call_later(delay_s, self.publish_state, host, state, fields)
        else:
            self.publish_state(host, state, fields)

    def publish_state(self, host: str, state: str, fields: dict[str, Any]) -> None:
        entry = self.directory.set_state(host, state, **fields)
        for server in [*self.servers.values(), *self.former_servers]:
            server.send_change(entry, self.directory.seq)

    def go_down(self) -> None:
        """Take discovery down for all relays."""
        for server in self.servers.values():
            server.go_down()

    def come_back(self) -> None:
        """Restore discovery for all relays."""
        for server in self.servers.values():
            server.down = False

    def stop(self) -> None:
        """Stop the servers of all relays."""
        for server in [*self.servers.values(), *self.former_servers]:
            server.stop()
