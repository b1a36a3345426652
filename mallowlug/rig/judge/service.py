"""Service by the BRIEF's counting: worth delivered over worth asked for, as four figures and their mix.

- Worth is whole within the class's aim and falls evenly to ``late_worth`` at its deadline.
- A client's retries belong to its first try: what any of them delivers counts for it, at its time.
- Traffic of a member beyond its share is worth ``over_share_worth`` of the usual. Here the share is a bucket
  that holds ten seconds of the member's rate and starts half full; a first try that finds it empty is beyond
  the share.
- The mix: 40% the whole run, 30% the worst 10 s (by time of asking, windows a second apart, with at least a
  fifth of a mean window's worth in them), 20% the worst class, 10% the worst member within its share.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mallowlug.rig.judge import record as rec

WINDOW_US, STEP_US = 10_000_000, 1_000_000
BUCKET_S = 10.0
LEAST_WORTH = 0.2  # of a mean window's worth: a window with less says nothing


@dataclass(frozen=True, slots=True)
class Service:
    """Shares from 0 to 1, and counts of first tries, delivered ones, attempts and refused attempts."""

    total: float
    whole: float
    worst_window: float
    worst_class: float
    worst_member: float
    asked: int
    delivered: int
    attempts: int
    refused: int


@dataclass(slots=True)
class Wish:
    """One message as its client wants it: its first try and the earliest delivery of any try."""

    ask: rec.MessageSubmitted
    cls: rec.ClassSpec
    weight: float  # what it is worth at best
    within: bool  # within its member's share
    delivered_us: int = -1

    @property
    def earned(self) -> float:
        """What its delivery was worth."""
        late_us = self.delivered_us - self.ask.at - self.cls.aim_us
        if self.delivered_us < 0 or late_us > self.cls.deadline_us - self.cls.aim_us:
            return 0.0
        span_us = max(1, self.cls.deadline_us - self.cls.aim_us)
        return self.weight * (1 - (1 - self.cls.late_worth) * max(0, late_us) / span_us)


def wishes_of(record: rec.Record) -> list[Wish]:
    """Every first try that was asked for, with what became of it."""
    head = record.head
    classes = {cls.name: cls for cls in head.classes}
    quotas = {member.name: member.quota_per_s for member in head.members}
    buckets = {name: (BUCKET_S * quota / 2, 0) for name, quota in quotas.items()}
    wishes: dict[str, Wish] = {}
    first_of: dict[str, str] = {}
    taken, calls, written = set[str](), dict[int, rec.Call](), dict[str, int]()
    for event in record.events:
        if isinstance(event, rec.MessageSubmitted) and event.cls in classes:
            first_of[event.id] = event.first or event.id
            if not event.first and event.id not in wishes:
                within = True
                if quota := quotas.get(event.member):
                    level, at_us = buckets[event.member]
                    level = min(BUCKET_S * quota, level + quota * (event.at - at_us) / 1e6)
                    within = level >= 1
                    buckets[event.member] = (level - within, event.at)
                cls = classes[event.cls]
                weight = cls.worth * (1.0 if within else head.figures.over_share_worth)
                wishes[event.id] = Wish(event, cls, weight, within)
        elif isinstance(event, rec.ClientOutcome) and event.what == "taken":
            taken.add(event.id)
        elif isinstance(event, rec.Call):
            calls[event.call] = event
        elif isinstance(event, rec.CallAnswered):
            for ref, end in event.ends.items():
                if end == "delivered":
                    written.setdefault(ref, event.at)
    for ref, at_us in written.items():
        wish = wishes.get(first_of.get(ref, ""))
        if wish is not None and ref in taken and (wish.delivered_us < 0 or at_us < wish.delivered_us):
            wish.delivered_us = at_us
    return list(wishes.values())


def share(wishes: Iterable[Wish]) -> float:
    """Worth delivered over worth asked for; 1 where nothing was."""
    asked = earned = 0.0
    for wish in wishes:
        asked, earned = asked + wish.weight, earned + wish.earned
    return earned / asked if asked else 1.0


def windows(wishes: list[Wish]) -> dict[int, float]:
    """By its start in microseconds, the service of each window of 10 s that has enough in it."""
    if not wishes:
        return {}
    last = max(wish.ask.at for wish in wishes)
    starts = range(0, max(1, last - WINDOW_US + STEP_US), STEP_US)
    held = {at: [w for w in wishes if at <= w.ask.at < at + WINDOW_US] for at in starts}
    worth = {at: sum(wish.weight for wish in inside) for at, inside in held.items()}
    mean = sum(worth.values()) / len(worth)
    return {at: share(inside) for at, inside in held.items() if worth[at] >= LEAST_WORTH * mean > 0}


def service_of(record: rec.Record) -> Service:
    """The four figures and their mix."""
    wishes = wishes_of(record)
    classes, members = defaultdict(list), defaultdict(list)
    for wish in wishes:
        classes[wish.ask.cls].append(wish)
        if wish.within:
            members[wish.ask.member].append(wish)

    def worst(groups: Mapping[str, list[Wish]]) -> float:
        return min(map(share, groups.values()), default=1.0)

    whole, window = share(wishes), min(windows(wishes).values(), default=1.0)
    worst_class, worst_member = worst(classes), worst(members)
    ends = [
        end for event in record.events if isinstance(event, rec.CallAnswered) for end in event.ends.values()
    ]
    return Service(
        total=0.4 * whole + 0.3 * window + 0.2 * worst_class + 0.1 * worst_member,
        whole=whole,
        worst_window=window,
        worst_class=worst_class,
        worst_member=worst_member,
        asked=len(wishes),
        delivered=sum(wish.delivered_us >= 0 for wish in wishes),
        attempts=sum(len(event.ids) for event in record.events if isinstance(event, rec.Call)),
        refused=ends.count("refused"),
    )
