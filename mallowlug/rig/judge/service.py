"""Service as the BRIEF defines it: delivered worth over requested worth, as four measures and their mean.

- Worth is full until the class's target time and falls linearly to ``late_worth`` at its deadline.
- A client's retries belong to its first submission: a delivery of any of them counts for it, at its own time.
- Traffic of a tenant beyond its quota has ``over_share_worth`` of its usual worth. Here the quota is a token
  bucket that holds ten seconds of the tenant's rate and starts half full; a first submission that finds it
  empty is beyond the quota.
- The weighted mean: 40% the whole run, 30% the worst 10 s (by submission time, windows one second apart, with
  at least a fifth of a mean window's worth), 20% the worst class, 10% the worst tenant within its quota.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mallowlug.rig.judge import record as rec

WINDOW_US, STEP_US = 10_000_000, 1_000_000
BUCKET_S = 10.0
MIN_WINDOW_WORTH = 0.2  # of a mean window's worth; windows with less are ignored


@dataclass(frozen=True, slots=True)
class Service:
    """Shares from 0 to 1, and counts of first submissions, deliveries, attempts and refused attempts."""

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
class ClientRequest:
    """One message of a client: its first submission, and the earliest delivery of this or any retry."""

    submitted: rec.MessageSubmitted
    cls: rec.ClassSpec
    weight: float  # worth of a delivery in time
    within_quota: bool  # within its tenant's quota
    delivered_us: int = -1

    @property
    def earned(self) -> float:
        """Worth of its delivery; 0 without one or after the deadline."""
        late_us = self.delivered_us - self.submitted.at - self.cls.aim_us
        if self.delivered_us < 0 or late_us > self.cls.deadline_us - self.cls.aim_us:
            return 0.0
        span_us = max(1, self.cls.deadline_us - self.cls.aim_us)
        return self.weight * (1 - (1 - self.cls.late_worth) * max(0, late_us) / span_us)


def requests_of(record: rec.Record) -> list[ClientRequest]:
    """Return every first submission with its earliest delivery."""
    head = record.head
    classes = {cls.name: cls for cls in head.classes}
    quotas = {member.name: member.quota_per_s for member in head.members}
    buckets = {name: (BUCKET_S * quota / 2, 0) for name, quota in quotas.items()}
    requests: dict[str, ClientRequest] = {}
    first_of: dict[str, str] = {}
    accepted, calls, delivered_at = set[str](), dict[int, rec.Call](), dict[str, int]()
    for event in record.events:
        if isinstance(event, rec.MessageSubmitted) and event.cls in classes:
            first_of[event.id] = event.first or event.id
            if not event.first and event.id not in requests:
                within_quota = True
                if quota := quotas.get(event.member):
                    level, at_us = buckets[event.member]
                    level = min(BUCKET_S * quota, level + quota * (event.at - at_us) / 1e6)
                    within_quota = level >= 1
                    buckets[event.member] = (level - within_quota, event.at)
                cls = classes[event.cls]
                weight = cls.worth * (1.0 if within_quota else head.figures.over_share_worth)
                requests[event.id] = ClientRequest(event, cls, weight, within_quota)
        elif isinstance(event, rec.ClientOutcome) and event.what == "taken":
            accepted.add(event.id)
        elif isinstance(event, rec.Call):
            calls[event.call] = event
        elif isinstance(event, rec.CallAnswered):
            for ref, end in event.ends.items():
                if end == "delivered":
                    delivered_at.setdefault(ref, event.at)
    for ref, at_us in delivered_at.items():
        request = requests.get(first_of.get(ref, ""))
        if (
            request is not None
            and ref in accepted
            and (request.delivered_us < 0 or at_us < request.delivered_us)
        ):
            request.delivered_us = at_us
    return list(requests.values())


def share(requests: Iterable[ClientRequest]) -> float:
    """Return delivered worth over requested worth; 1 if nothing was requested."""
    asked = earned = 0.0
    for request in requests:
        asked, earned = asked + request.weight, earned + request.earned
    return earned / asked if asked else 1.0


def window_service(requests: list[ClientRequest]) -> dict[int, float]:
    """Return the service of each 10 s window with enough worth in it, by its start in microseconds."""
    if not requests:
        return {}
    last = max(request.submitted.at for request in requests)
    starts = range(0, max(1, last - WINDOW_US + STEP_US), STEP_US)
    by_start = {at: [w for w in requests if at <= w.submitted.at < at + WINDOW_US] for at in starts}
    worth = {at: sum(request.weight for request in inside) for at, inside in by_start.items()}
    mean = sum(worth.values()) / len(worth)
    return {at: share(inside) for at, inside in by_start.items() if worth[at] >= MIN_WINDOW_WORTH * mean > 0}


def service_of(record: rec.Record) -> Service:
    """Return the four measures, their weighted mean, and the counts."""
    requests = requests_of(record)
    classes, members = defaultdict(list), defaultdict(list)
    for request in requests:
        classes[request.submitted.cls].append(request)
        if request.within_quota:
            members[request.submitted.member].append(request)

    def worst(groups: Mapping[str, list[ClientRequest]]) -> float:
        return min(map(share, groups.values()), default=1.0)

    whole, window = share(requests), min(window_service(requests).values(), default=1.0)
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
        asked=len(requests),
        delivered=sum(request.delivered_us >= 0 for request in requests),
        attempts=sum(len(event.ids) for event in record.events if isinstance(event, rec.Call)),
        refused=ends.count("refused"),
    )
