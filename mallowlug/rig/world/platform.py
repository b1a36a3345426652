"""Stand-ins for the platform: discovery with its watches, and the notices. Each relay has an address of its
own, so that it is known who watches and who tells an end.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from mallowlug.rig.judge import record as rec
from mallowlug.rig.world.httpd import Connection, Place, Request, Server

BEAT_S = 1.5  # s between empty lines while nothing changes
STATES: dict[str, Any] = {"ready": "SERVING", "draining": "DRAINING", "gone": "DELETED"}


class Listing:
    """The list of endpoints in its versions: the truth, and what watches have been told so far."""

    def __init__(self) -> None:
        self.seq = 0
        self.entries: dict[str, dict[str, Any]] = {}

    def put(self, host: str, state: str, **fields: Any) -> dict[str, Any]:
        """A new version with one change; the entry as it is told."""
        self.seq += 1
        entry = self.entries.get(host, {"host": host, "share": 1.0, "born_ms": 0})
        entry = entry | fields | {"health": STATES[state]}
        if state == "gone":
            self.entries.pop(host, None)
        else:
            self.entries[host] = entry
        return entry

    def whole(self) -> dict[str, Any]:
        """The list as it stands."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}


class Discovery(Server):
    """Discovery and notices at one relay's address."""

    def __init__(
        self,
        relay: str,
        listing: Listing,
        writer: rec.RecordWriter,
        ended: Callable[[rec.Notice], None],
        place: Place,
    ) -> None:
        super().__init__(place)
        self.relay, self.listing, self.writer, self.ended = relay, listing, writer, ended
        self.down = False
        self.dials: Callable[[str], str] = str  # by endpoint: where this relay reaches it
        self.watches: dict[Connection, None] = {}
        self.known = {"seq": 0, "whole": True, "hosts": []}  # told last, for its relay's next start
        self._beat: asyncio.TimerHandle | None = None
        self._muted = False
        self._unsaid: list[tuple[str, Any]] = []  # written while nothing passes

    def mute(self, muted: bool) -> None:
        """Between it and the relay nothing passes: what is written now is not told."""
        if self._muted != muted and self.watches:
            self.writer.add(rec.WatchChange(self.writer.now, self.relay, not muted))
        self._muted = muted
        if not muted:  # what was written meanwhile arrives now, if its connection has lasted
            for host, state in self._unsaid:
                self.writer.add(rec.StateAnnounced(self.writer.now, self.relay, host, state))
            self._unsaid.clear()

    async def listen(self) -> None:
        """Listen, and keep watches from falling silent."""
        await super().listen()
        self._beats()

    def _beats(self) -> None:
        self._beat = asyncio.get_running_loop().call_later(BEAT_S, self._beats)
        for connection in self.watches:
            connection.chunk(b"\n")

    def stop(self) -> None:
        """Be gone."""
        if self._beat is not None:
            self._beat.cancel()
        self.refuse()

    def left(self, connection: Connection) -> None:
        if connection in self.watches:
            self.watches.pop(connection, None)
            if not self.watches:
                self._unsaid.clear()
                self.writer.add(rec.WatchChange(self.writer.now, self.relay, False))

    def asked(self, request: Request) -> None:
        """A watch, or notices; notices are taken also while discovery is down."""
        if request.method == "POST" and request.target == "/v1/notices":
            self._notices(request)
        elif request.method != "GET" or not request.target.startswith("/discovery/hosts"):
            request.connection.answer(404)
        elif self.down:
            request.connection.answer(503)
        elif "watch=1" not in request.target:
            request.connection.answer(200, {}, json.dumps(self.dialed(self.listing.whole())).encode())
        else:
            request.connection.stream()
            if not self.watches:
                self.writer.add(rec.WatchChange(self.writer.now, self.relay, True))
            self.watches[request.connection] = None
            self._tell(request.connection, self.listing.whole())

    def _notices(self, request: Request) -> None:
        notices = list[rec.Notice]()
        try:
            for line in request.body.splitlines():
                told = json.loads(line)
                wait_us = int(told.get("wait_ms", 0)) * 1000
                if told["result"] not in ("dead", "bounced"):
                    raise ValueError(told["result"])
                notices.append(rec.Notice(self.writer.now, self.relay, told["ref"], told["result"], wait_us))
        except (ValueError, KeyError, TypeError) as error:
            self.writer.add(rec.Annotation(self.writer.now, "bad notice", repr(error)))
            request.connection.answer(400)
            return
        for notice in notices:
            self.writer.add(notice)
            self.ended(notice)
        request.connection.answer(204)

    def dialed(self, news: dict[str, Any]) -> dict[str, Any]:
        """News with the addresses under which this relay reaches the endpoints."""
        return news | {"hosts": [e | {"dial": self.dials(e["host"])} for e in news["hosts"]]}

    def _tell(self, connection: Connection, news: dict[str, Any]) -> None:
        news = self.dialed(news)
        states: dict[str, Any] = {word: state for state, word in STATES.items()}
        for entry in news["hosts"]:
            state = states[entry["health"]]
            if self._muted and state != "ready":
                self._unsaid.append((entry["host"], state))
            else:  # a link that is cut after some bytes may have let it pass: whoever heard it may send
                self._unsaid = [said for said in self._unsaid if said[0] != entry["host"]]
                self.writer.add(rec.StateAnnounced(self.writer.now, self.relay, entry["host"], state))
        connection.chunk(json.dumps(news).encode() + b"\n")
        self.known = self.dialed(self.listing.whole())

    def change(self, entry: dict[str, Any], seq: int) -> None:
        """Tell the watches what changed."""
        for connection in self.watches:
            self._tell(connection, {"seq": seq, "whole": False, "hosts": [entry]})

    def lose(self) -> None:
        """Discovery goes down: watches end."""
        self.down = True
        for connection in list(self.watches):
            connection.reset()


class Platform:
    """One directory for all relays, each at an address of its own; its news is late."""

    def __init__(
        self,
        writer: rec.RecordWriter,
        late_s: tuple[float, float],
        rng: random.Random,
        place: Place | None = None,
    ) -> None:
        self.writer, self._late_s, self._rng, self._place = writer, late_s, rng, place or Place()
        self.listing = Listing()
        self.faces: dict[str, Discovery] = {}  # by relay
        self.formers: list[Discovery] = []
        self.ended: Callable[[rec.Notice], None] = lambda _notice: None
        self.dial: Callable[[str, str], str] = lambda _relay, host: host

    async def face(self, relay: str) -> Discovery:
        """Discovery at a new address for a relay; one that it had before stays until it is stopped."""
        face = Discovery(relay, self.listing, self.writer, self._ended, self._place)
        face.dials = lambda host: self.dial(relay, host)
        if former := self.faces.get(relay):
            face.known, face.down = former.known, former.down
            self.formers.append(former)
        self.faces[relay] = face
        await face.listen()
        return face

    def _ended(self, notice: rec.Notice) -> None:
        self.ended(notice)

    def put(self, host: str, state: Any, late: bool = True, **fields: Any) -> None:
        """The truth changes now; the list says so some time later."""
        self.writer.add(rec.DirectoryChange(self.writer.now, host, state))
        if late:
            delay_s = self._rng.uniform(*self._late_s)
            asyncio.get_running_loop().call_later(delay_s, self._put, host, state, fields)
        else:
            self._put(host, state, fields)

    def _put(self, host: str, state: str, fields: dict[str, Any]) -> None:
        entry = self.listing.put(host, state, **fields)
        for face in [*self.faces.values(), *self.formers]:
            face.change(entry, self.listing.seq)

    def lose(self) -> None:
        """Discovery goes down everywhere."""
        for face in self.faces.values():
            face.lose()

    def regain(self) -> None:
        """Discovery is back."""
        for face in self.faces.values():
            face.down = False

    def stop(self) -> None:
        """Be gone."""
        for face in [*self.faces.values(), *self.formers]:
            face.stop()
