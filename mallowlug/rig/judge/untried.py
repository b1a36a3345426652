"""The term on messages that a restart finds taken on and not tried yet."""

from __future__ import annotations

from collections import defaultdict

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.ledger import Books, Message
from mallowlug.rig.judge.rule import Rule

FOUND = 20  # messages that a run's restarts have to find before a share of them says anything


class Untried(Rule):
    """What restarts find taken on and untried is still tried: not over half of it is given up with no call.

    No rule but a term of acceptance, over the whole run. A message counts where its time, as the relay is
    ready again, still covers a call behind others that wait as well (its class's aim), and where somebody
    delivered something at its destination until its time was up: else nobody could have.
    Reasons that excuse it: until then an endpoint of its destination was in an outage, so care was due there;
    the relay's disk was full, so no try could be written down; nothing reached the relay, or it stood still.
    """

    name = "untried"

    def __init__(self, books: Books) -> None:
        super().__init__(books)
        self._found: dict[str, int] = {}  # by message: when the relay was ready again
        # By destination, and by relay: when it was ill, or could do nothing.
        self._ill: dict[int | str, list[list[int]]] = defaultdict(list)

    def see(self, event: rec.AnyEvent) -> None:
        if isinstance(event, rec.HostStateChange) and event.host in self.books.hosts:
            self._window(self.books.hosts[event.host].dest, event.at, event.state == "back")
        elif isinstance(event, rec.ProcessEvent) and event.what in ("full", "room"):
            self._window(event.relay, event.at, event.what == "room")
        if (
            not isinstance(event, rec.ProcessEvent)
            or event.what != "ready"
            or not self.books.ends[event.relay]
        ):
            return
        ended_us = self.books.ends[event.relay][-1]
        for ref, message in self.books.messages.items():
            if message.ask.relay != event.relay or message.wiped or not 0 <= message.taken_us < ended_us:
                continue
            # It is given up as soon as it is found, perhaps: before anybody sees that the relay is ready.
            if not 0 <= message.end_us < ended_us and all(a.came_us >= ended_us for a in message.attempts):
                self._found[ref] = event.at

    def _window(self, what: int | str, at_us: int, over: bool) -> None:
        """It begins, or ends the one that is open."""
        if not over:
            self._ill[what].append([at_us, -1])
        elif self._ill[what]:
            self._ill[what][-1][1] = at_us

    def _excused(self, message: Message, start_us: int, end_us: int) -> bool:
        """Whether something stood in its way between two times."""
        relay = message.ask.relay
        windows = [*self._ill[message.ask.dest], *self._ill[relay]]
        windows += self.books.deaf[relay] + self.books.cut_off[relay]
        return any(begun <= end_us and (over < 0 or start_us <= over) for begun, over in windows)

    def close(self) -> None:
        delivered: dict[int, list[int]] = defaultdict(list)
        for message in self.books.messages.values():
            if message.delivered_us >= 0:
                delivered[message.ask.dest].append(message.delivered_us)
        given: list[tuple[int, Message]] = []
        for ref, ready_us in self._found.items():
            message = self.books.messages[ref]
            until_us = message.ask.at + message.ask.left_us
            if until_us - ready_us < (message.cls.aim_us if message.cls is not None else 0):
                continue
            if not message.attempts:
                able = any(ready_us <= at <= until_us for at in delivered[message.ask.dest])
                # One without an end was lost with its machine, or the run ended.
                if message.end_us < 0 or not able or self._excused(message, ready_us, until_us):
                    continue
                given.append((message.end_us, message))
            self.checked += 1
        if self.checked >= FOUND and 2 * len(given) > self.checked:
            at_us, last = given[-1]
            ids = [message.ask.id for _, message in given]
            self.broken(at_us, last.ask.relay, ids, f"{len(given)} of {self.checked} given up with no call")
