"""Builder for short records: one relay, two zones, times in milliseconds."""

from __future__ import annotations

from typing import Any

from mallowlug.rig.judge import record as rec

MS, SECOND = 1000, 1_000_000
CLASSES = [
    rec.ClassSpec("keyed", "keyed", 4 * SECOND, 12 * SECOND, 1.0, 0.4, 25 * SECOND, by_zone=True),
    rec.ClassSpec("anywhere", "keyed", 4 * SECOND, 12 * SECOND, 1.0, 0.4, 2 * SECOND),
    rec.ClassSpec("lasting", "keyed", 4 * SECOND, 12 * SECOND, 1.0, 0.4, 25 * SECOND),
    rec.ClassSpec("safe", "safe", 3 * SECOND, 12 * SECOND, 3.0, 0.5),
    rec.ClassSpec("unsafe", "unsafe", 4 * SECOND, 12 * SECOND),
    rec.ClassSpec("line", "safe", 4 * SECOND, 12 * SECOND, in_order=True),
]
KINDS = [rec.KindSpec("apart", True, 10), rec.KindSpec("joint", False, 1)]


class Story:
    """A record under construction; events are added in any order and sorted by time."""

    def __init__(self, **figures: Any) -> None:
        limits = rec.RuleLimits(order_pause_us=500 * MS, **figures)
        members = [rec.TenantQuota("m", 1000.0)]
        self.head = rec.RecordHead(0, "story", 1, CLASSES, KINDS, members, limits)
        self.events: list[rec.AnyEvent] = []
        self.calls = 0
        for host, zone, kind, dest in (
            ("a1", "a", "apart", 1),
            ("a2", "a", "apart", 1),
            ("b1", "b", "apart", 1),
            ("j1", "a", "joint", 2),
            ("j2", "a", "joint", 2),
        ):
            self.add(rec.HostAdded(0, host, dest, zone, kind, 4.0))
        self.add(rec.ProcessEvent(0, "n0", "ready"), rec.WatchChange(0, "n0", True))

    def add(self, *events: rec.AnyEvent) -> Story:
        """Add events."""
        self.events += events
        return self

    def ask(self, at: int, ref: str, cls: str = "safe", *, said: str = "taken", **fields: Any) -> Story:
        """Add a request with a deadline 12 s later, and its answer after a millisecond."""
        known: dict[str, Any] = {"relay": "n0", "dest": 1, "member": "m", "left_us": 12 * SECOND} | fields
        self.add(rec.MessageSubmitted(at * MS, ref, cls=cls, **known))
        return self.add(rec.ClientOutcome((at + 1) * MS, ref, said)) if said else self  # type: ignore[arg-type]

    def call(
        self, at: int, *refs: str, host: str = "a1", end: str = "delivered", took: int = 50, wait: int = 0
    ) -> Story:
        """Add a call and its answer after ``took`` ms; ``end`` is a result, ``gone`` (broken) or ``open``."""
        self.calls += 1
        number = self.calls
        self.add(rec.Call(at * MS, number, host, list(refs), at * MS))
        if end == "gone":
            self.add(rec.CallBroken((at + took) * MS, number, "relay"))
        elif end != "open":
            ends: Any = dict.fromkeys(refs, end)
            self.add(rec.CallAnswered((at + took) * MS, number, ends, wait * MS))
        return self

    def notice(self, at: int, ref: str, result: Any = "dead") -> Story:
        """Add a notice of a message's final result."""
        return self.add(rec.Notice(at * MS, "n0", ref, result))

    def record(self, end: int = 60_000, whole: bool = True) -> rec.Record:
        """Return the record; it ends at ``end`` ms, or is truncated unless ``whole``."""
        events = sorted(self.events, key=lambda event: event.at)
        last = [rec.RecordEnd(end * MS, len(events))] if whole else []
        return rec.Record(self.head, [*events, *last], whole)
