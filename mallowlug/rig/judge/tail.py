"""How long messages wait: quantiles of accept and delivery, calls and connections, from a record.

Times count from when a client wanted the message out. Arrivals are drawn ahead and wait for no answer, so
what is slow delays no later arrival, and no correction for coordinated omission is due. A message that was
never delivered counts as one that takes for ever: it is not left out of the tail. Quantiles are exact
(nearest rank).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from mallowlug.rig.judge import record as rec
from mallowlug.rig.judge.service import wishes_of

SHARES = (0.5, 0.99, 0.999)


@dataclass(frozen=True, slots=True)
class Tail:
    """Quantiles in milliseconds, in the order of ``SHARES``; ``math.inf`` where so many never came."""

    accept_ms: tuple[float, ...]
    deliver_ms: tuple[float, ...]
    messages: int
    delivered: int
    calls: int
    carried: int  # messages in all calls, further tries among them
    connections: int


def quantile(values: Sequence[float], share: float) -> float:
    """The least value that so large a share does not exceed; ``ValueError`` where there is none."""
    if not values or not 0 < share <= 1:
        raise ValueError("a quantile needs values, and a share above 0 and at most 1")
    return sorted(values)[math.ceil(share * len(values)) - 1]


def quantiles(values: Sequence[float]) -> tuple[float, ...]:
    """All of ``SHARES``; nothing where there are no values."""
    return tuple(quantile(values, share) for share in SHARES) if values else ()


def tail_of(record: rec.Record) -> Tail:
    """What a record says. Only requests that were taken on have an accept time."""
    asked = {event.id: event.at for event in record.events if isinstance(event, rec.MessageSubmitted)}
    accepts = [
        (event.at - asked[event.id]) / 1000
        for event in record.events
        if isinstance(event, rec.ClientOutcome) and event.what == "taken" and event.id in asked
    ]
    wishes = wishes_of(record)
    took = [(w.delivered_us - w.ask.at) / 1000 if w.delivered_us >= 0 else math.inf for w in wishes]
    calls = [event for event in record.events if isinstance(event, rec.Call)]
    return Tail(
        accept_ms=quantiles(accepts),
        deliver_ms=quantiles(took),
        messages=len(wishes),
        delivered=sum(value < math.inf for value in took),
        calls=len(calls),
        carried=sum(len(call.ids) for call in calls),
        connections=len({(call.host, call.connection) for call in calls}),
    )
